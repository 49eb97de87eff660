/** A daemon in the simulation: the real admission gate, backend registry and routing policy in front of simulated engines. */
import {setMaxListeners} from 'node:events';
import {type Account} from '@shallotpass/common/configuration-schema.js';
import {type ErrorKind} from '@shallotpass/common/error-kinds.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type ConfigurationVersion, type Deadline} from '@shallotpass/common/types.js';
import {makeAdmissionGate} from '@shallotpass/callers/admission-gate.js';
import {blockCharacters, estimateTokens} from '@shallotpass/core/routing/hash-prompt.js';
import {isLate} from '@shallotpass/core/routing/speed-estimate.js';
import {type BackendView, type LatencyTarget, type RoutingPolicy} from '@shallotpass/core/routing/types.js';
import {makeBackendRegistry} from '@shallotpass/tasks/backend-registry.js';
import {type BackendRegistry} from '@shallotpass/tasks/types.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {defaultTeam, noActiveConfigurations, activateConfiguration} from '@shallotpass/tasks/active-configurations.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';
import {makeSettings} from '../local-fleet.js';
import {type LatencyClass, type Deployment} from './deployment.js';
import {type SimulatedEngine, type RunOutcome} from './simulated-engine.js';
import {type ChatArrival, type PlainArrival} from './make-requests.js';
import {type ManualClock} from './manual-clock.js';

export const chatService = 'assistant';

export type ChatResult = {
	readonly arrival: ChatArrival;
	readonly firstTokenAt: number | undefined;
	readonly endedAt: number;
	readonly tokens: number;
	readonly attempts: number;
	/** Error kind if the request failed; undefined if the answer is complete. */
	readonly errorKind: ErrorKind | undefined;
};

export type SimulatedDaemon = {
	readonly registry: BackendRegistry;
	readonly serve: (arrival: ChatArrival) => Promise<ChatResult>;
	/** Resolves to the time from arrival to answer in milliseconds; undefined if there was no server. */
	readonly servePlain: (arrival: PlainArrival) => Promise<number | undefined>;
};

type SimulatedDaemonOptions = {
	readonly index: number;
	readonly deployment: Deployment;
	readonly clock: ManualClock;
	readonly random: () => number;
	readonly policy: RoutingPolicy;
	readonly findEngine: (id: string) => SimulatedEngine;
	readonly runPlain: (serverId: string) => Promise<void>;
};

const makeAccount = ({name, share}: Pick<Account, 'name' | 'share'>): Account => ({
	name, share, keySha256: [], services: [chatService], classes: [],
});

/** Makes a signal that is never aborted. It has no listener limit, since every request adds one. */
const makeNeverAbortedSignal = (): AbortSignal => {
	const {signal} = new AbortController();
	setMaxListeners(0, signal);
	return signal;
};

const getTarget = ({firstTokenMs, betweenTokensMs}: LatencyClass): LatencyTarget | undefined =>
	firstTokenMs === undefined ? undefined : {firstTokenMs, betweenTokensMs};

const blockTokens = estimateTokens(blockCharacters);
const maxAttempts = 6;
const noBackendRetryMs = 200;

const makeConfigurationText = (deployment: Deployment): string => [
	...deployment.class.flatMap(item => [
		'[[class]]',
		`name = "${item.name}"`,
		`rank = ${item.rank}`,
		...(item.firstTokenMs === undefined ? [] : [`first_token_ms = ${item.firstTokenMs}`]),
		...(item.betweenTokensMs === undefined ? [] : [`between_tokens_ms = ${item.betweenTokensMs}`]),
	]),
	'[[service]]',
	`name = "${chatService}"`,
	'kind = "model"',
	'models = ["assistant-7b"]',
	...[...new Set(deployment.engine.map(group => `${group.availabilityZone} ${group.machine}`))].flatMap(zoneAndMachine => {
		const [zone, name] = zoneAndMachine.split(' ');
		const {price} = (deployment.machine.find(item => item.name === name)!);
		return ['[[price]]', `availability_zone = "${zone}"`, `machine_class = "${name}"`, `reclaimable = ${price}`, `on_demand = ${price * 3}`];
	}),
].join('\n');

export const makeSimulatedDaemon = (options: SimulatedDaemonOptions): SimulatedDaemon => {
	const {
		index, deployment, clock, random, policy, findEngine, runPlain,
	} = options;
	const zones = [...new Set(deployment.engine.map(group => group.availabilityZone))];
	const id = `entry-${index}`;
	const availabilityZone = zones[index % zones.length]!;
	const environment: Environment = {
		settings: makeSettings({id, availabilityZone, platform: undefined}),
		clock,
		random,
		metrics: makeMetrics(),
		makeLogger: task => makeLogger(task, id),
		signal: makeNeverAbortedSignal(),
	};
	const registry = makeBackendRegistry({environment, policy});
	const accepted = activateConfiguration(noActiveConfigurations, {
		team: defaultTeam, version: 0 as ConfigurationVersion, id: 'first', toml: makeConfigurationText(deployment), by: 'measure', at: 0,
	}, 0);
	if (accepted.kind === 'unreadable') {
		throw new Error(accepted.mistakes.join('\n'));
	}

	registry.applyConfigurations(accepted.inForce);
	const gate = makeAdmissionGate({environment, getCapacity: registry.countSlots, countMembers: () => deployment.daemons});

	const admit = async (arrival: ChatArrival, latencyClass: LatencyClass): Promise<() => void> => {
		const account = deployment.account.find(item => item.name === arrival.account)!;
		return gate.admit({
			id: arrival.id,
			team: defaultTeam,
			account: makeAccount(account),
			serviceId: chatService,
			rank: latencyClass.rank,
			isBackground: latencyClass.firstTokenMs === undefined,
			firstTokenMs: latencyClass.firstTokenMs,
			work: arrival.promptTokens + arrival.answerTokens,
			deadline: addMilliseconds(arrival.at, latencyClass.wholeWithinMs),
			signal: environment.signal,
		});
	};

	const chooseBackend = (arrival: ChatArrival, latencyClass: LatencyClass, tokens: number, excluded: ReadonlySet<string>): BackendView | undefined => registry.choose({
		service: chatService,
		promptTokens: arrival.promptTokens + tokens,
		prefixHashes: arrival.chain,
		expectedTokens: arrival.answerTokens - tokens,
		now: clock.now(),
		availabilityZone,
		target: getTarget(latencyClass),
		excluded,
	});

	const runOnEngine = async (arrival: ChatArrival, latencyClass: LatencyClass, backend: BackendView, tokens: number): Promise<RunOutcome> => {
		const startedAt = clock.now();
		const uncachedTokens = Math.max(0, arrival.promptTokens - (registry.countCachedBlocks(backend.id, arrival.chain) * blockTokens));
		const isUrgent = latencyClass.firstTokenMs !== undefined;
		registry.begin(backend.id, {promptTokens: uncachedTokens, isUrgent});
		const outcome = await findEngine(backend.id).run({
			id: `${arrival.id}-${tokens}`, prompt: '', promptTokens: arrival.promptTokens, chain: arrival.chain, priority: latencyClass.rank, maxTokens: arrival.answerTokens, resumeAfter: tokens - 1,
		}, () => {
			registry.recordPromptPrefilled(backend.id, uncachedTokens);
		});
		if (outcome.firstTokenAt === undefined) {
			registry.recordPromptPrefilled(backend.id, uncachedTokens);
		}

		registry.end(backend.id, isUrgent);
		if (outcome.isComplete && outcome.firstTokenAt !== undefined) {
			const tokenMs = outcome.tokens > 1 ? (clock.now() - outcome.firstTokenAt) / (outcome.tokens - 1) : undefined;
			registry.recordSpeedSample(backend.id, {
				firstTokenMs: outcome.firstTokenAt - startedAt,
				tokenMs,
				isLate: isLate(tokenMs, getTarget(latencyClass)),
				uncachedTokens,
			}, arrival.chain);
		}

		return outcome;
	};

	const generateAnswer = async (arrival: ChatArrival, latencyClass: LatencyClass): Promise<Omit<ChatResult, 'arrival' | 'endedAt'>> => {
		const excluded = new Set<string>();
		let firstTokenAt: number | undefined;
		let tokens = 0;
		let attempts = 0;
		while (attempts < maxAttempts && clock.now() < arrival.at + latencyClass.wholeWithinMs) {
			const backend = chooseBackend(arrival, latencyClass, tokens, excluded);
			if (backend === undefined) {
				await clock.waitUntil((clock.now() + noBackendRetryMs) as Deadline); // eslint-disable-line no-await-in-loop -- a replacement engine may join
				continue;
			}

			attempts++;
			const outcome = await runOnEngine(arrival, latencyClass, backend, tokens); // eslint-disable-line no-await-in-loop -- attempts are sequential
			firstTokenAt ??= outcome.firstTokenAt;
			tokens += outcome.tokens;
			if (outcome.isComplete) {
				return {
					firstTokenAt, tokens, attempts, errorKind: undefined,
				};
			}

			excluded.add(backend.id);
		}

		return {
			firstTokenAt, tokens, attempts, errorKind: attempts === 0 ? 'no_backend' : 'backend_failed',
		};
	};

	return {
		registry,
		async servePlain(arrival) {
			const backend = registry.choose({
				service: deployment.plain.service, promptTokens: 0, prefixHashes: [], expectedTokens: 1, now: clock.now(), availabilityZone, target: undefined, excluded: new Set(),
			});
			if (backend === undefined) {
				return undefined;
			}

			registry.begin(backend.id);
			await runPlain(backend.id);
			registry.end(backend.id);
			registry.recordSpeedSample(backend.id, {firstTokenMs: clock.now() - arrival.at, uncachedTokens: 0}, []);
			return clock.now() - arrival.at;
		},
		async serve(arrival) {
			const latencyClass = deployment.class.find(item => item.name === arrival.class)!;
			try {
				const release = await admit(arrival, latencyClass);
				try {
					const result = await generateAnswer(arrival, latencyClass);
					return {arrival, endedAt: clock.now(), ...result};
				} finally {
					release();
				}
			} catch (error) {
				if (!(error instanceof ServingError)) {
					throw error;
				}

				return {
					arrival, endedAt: clock.now(), firstTokenAt: undefined, tokens: 0, attempts: 0, errorKind: error.kind,
				};
			}
		},
	};
};
