/** The deciding part of a daemon, the real one: its gate, its registry and a policy, before engines on a controlled clock. */
import {setMaxListeners} from 'node:events';
import {type Account} from '@shallotpass/common/configuration-schema.js';
import {type ErrorKind} from '@shallotpass/common/error-kinds.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {addMilliseconds, type ConfigurationVersion, type Deadline} from '@shallotpass/common/types.js';
import {makeAdmissionGate} from '@shallotpass/callers/admission-gate.js';
import {blockCharacters, estimateTokens} from '@shallotpass/core/routing/hash-prompt.js';
import {isLate} from '@shallotpass/core/routing/speed-estimate.js';
import {type BackendView, type LatencyTarget, type RoutingPolicy} from '@shallotpass/core/routing/types.js';
import {makeBackendRegistry, type BackendRegistry} from '@shallotpass/tasks/backend-registry.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {defaultTeam, noActiveConfigurations, activateConfiguration} from '@shallotpass/tasks/active-configurations.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';
import {makeSettings} from '../local-fleet.js';
import {type ClassTarget, type Deployment} from './deployment.js';
import {type HostedEngine, type RunOutcome} from './hosted-engine.js';
import {type ChatArrival, type PlainArrival} from './make-requests.js';
import {type ManualClock} from './manual-clock.js';

export const chatService = 'assistant';

export type ChatResult = {
	readonly arrival: ChatArrival;
	readonly firstTokenAt: number | undefined;
	readonly endedAt: number;
	readonly tokens: number;
	readonly attempts: number;
	/** Kind of the refusal; undefined when the answer is whole. */
	readonly refusedAs: ErrorKind | undefined;
};

export type EntryDaemon = {
	readonly registry: BackendRegistry;
	readonly serve: (arrival: ChatArrival) => Promise<ChatResult>;
	/** Time from arrival to answer, in milliseconds; undefined when no server was there. */
	readonly servePlain: (arrival: PlainArrival) => Promise<number | undefined>;
};

type EntryDaemonOptions = {
	readonly index: number;
	readonly deployment: Deployment;
	readonly clock: ManualClock;
	readonly random: () => number;
	readonly policy: RoutingPolicy;
	readonly findEngine: (id: string) => HostedEngine;
	readonly runPlain: (serverId: string) => Promise<void>;
};

const makeAccount = ({name, share}: Pick<Account, 'name' | 'share'>): Account => ({
	name, share, keySha256: [], services: [chatService], classes: [],
});

/** A signal that is never aborted, with as many listeners as there are requests. */
const makeQuietSignal = (): AbortSignal => {
	const {signal} = new AbortController();
	setMaxListeners(0, signal);
	return signal;
};

const getTarget = ({firstTokenMs, betweenTokensMs}: ClassTarget): LatencyTarget | undefined =>
	firstTokenMs === undefined ? undefined : {firstTokenMs, betweenTokensMs};

const blockTokens = estimateTokens(blockCharacters);
const mostTries = 6;
const lookAgainMs = 200;

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
	...[...new Set(deployment.engine.map(group => `${group.availabilityZone} ${group.machine}`))].flatMap(place => {
		const [zone, name] = place.split(' ');
		const {price} = (deployment.machine.find(item => item.name === name)!);
		return ['[[price]]', `availability_zone = "${zone}"`, `machine_class = "${name}"`, `reclaimable = ${price}`, `on_demand = ${price * 3}`];
	}),
].join('\n');

export const makeEntryDaemon = (options: EntryDaemonOptions): EntryDaemon => {
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
		signal: makeQuietSignal(),
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

	const enter = async (arrival: ChatArrival, target: ClassTarget): Promise<() => void> => {
		const account = deployment.account.find(item => item.name === arrival.account)!;
		return gate.admit({
			id: arrival.id,
			team: defaultTeam,
			account: makeAccount(account),
			serviceId: chatService,
			rank: target.rank,
			isPatient: target.firstTokenMs === undefined,
			firstTokenMs: target.firstTokenMs,
			work: arrival.promptTokens + arrival.answerTokens,
			deadline: addMilliseconds(arrival.at, target.wholeWithinMs),
			signal: environment.signal,
		});
	};

	const choose = (arrival: ChatArrival, target: ClassTarget, tokens: number, excluded: ReadonlySet<string>): BackendView | undefined => registry.choose({
		service: chatService,
		promptTokens: arrival.promptTokens + tokens,
		chain: arrival.chain,
		expectedTokens: arrival.answerTokens - tokens,
		now: clock.now(),
		availabilityZone,
		target: getTarget(target),
		excluded,
	});

	const runAt = async (arrival: ChatArrival, target: ClassTarget, view: BackendView, tokens: number): Promise<RunOutcome> => {
		const startedAt = clock.now();
		const unread = Math.max(0, arrival.promptTokens - (registry.countCachedBlocks(view.id, arrival.chain) * blockTokens));
		const isUrgent = target.firstTokenMs !== undefined;
		registry.begin(view.id, {promptTokens: unread, isUrgent});
		const outcome = await findEngine(view.id).run({
			id: `${arrival.id}-${tokens}`, prompt: '', promptTokens: arrival.promptTokens, chain: arrival.chain, priority: target.rank, maxTokens: arrival.answerTokens, resumeAfter: tokens - 1,
		}, () => {
			registry.recordPromptProcessed(view.id, unread);
		});
		if (outcome.firstTokenAt === undefined) {
			registry.recordPromptProcessed(view.id, unread);
		}

		registry.end(view.id, isUrgent);
		if (outcome.isWhole && outcome.firstTokenAt !== undefined) {
			const tokenMs = outcome.tokens > 1 ? (clock.now() - outcome.firstTokenAt) / (outcome.tokens - 1) : undefined;
			registry.recordSpeedSample(view.id, {
				firstTokenMs: outcome.firstTokenAt - startedAt,
				tokenMs,
				isLate: isLate(tokenMs, getTarget(target)),
				uncachedTokens: unread,
			}, arrival.chain);
		}

		return outcome;
	};

	const answer = async (arrival: ChatArrival, target: ClassTarget): Promise<Omit<ChatResult, 'arrival' | 'endedAt'>> => {
		const excluded = new Set<string>();
		let firstTokenAt: number | undefined;
		let tokens = 0;
		let attempts = 0;
		while (attempts < mostTries && clock.now() < arrival.at + target.wholeWithinMs) {
			const view = choose(arrival, target, tokens, excluded);
			if (view === undefined) {
				await clock.waitUntil((clock.now() + lookAgainMs) as Deadline); // eslint-disable-line no-await-in-loop -- a replacement may come
				continue;
			}

			attempts++;
			const outcome = await runAt(arrival, target, view, tokens); // eslint-disable-line no-await-in-loop -- one try after the other
			firstTokenAt ??= outcome.firstTokenAt;
			tokens += outcome.tokens;
			if (outcome.isWhole) {
				return {
					firstTokenAt, tokens, attempts, refusedAs: undefined,
				};
			}

			excluded.add(view.id);
		}

		return {
			firstTokenAt, tokens, attempts, refusedAs: attempts === 0 ? 'no_backend' : 'backend_failed',
		};
	};

	return {
		registry,
		async servePlain(arrival) {
			const view = registry.choose({
				service: deployment.plain.service, promptTokens: 0, chain: [], expectedTokens: 1, now: clock.now(), availabilityZone, target: undefined, excluded: new Set(),
			});
			if (view === undefined) {
				return undefined;
			}

			registry.begin(view.id);
			await runPlain(view.id);
			registry.end(view.id);
			registry.recordSpeedSample(view.id, {firstTokenMs: clock.now() - arrival.at, uncachedTokens: 0}, []);
			return clock.now() - arrival.at;
		},
		async serve(arrival) {
			const target = deployment.class.find(item => item.name === arrival.class)!;
			try {
				const release = await enter(arrival, target);
				try {
					const result = await answer(arrival, target);
					return {arrival, endedAt: clock.now(), ...result};
				} finally {
					release();
				}
			} catch (error) {
				if (!(error instanceof ServingError)) {
					throw error;
				}

				return {
					arrival, endedAt: clock.now(), firstTokenAt: undefined, tokens: 0, attempts: 0, refusedAs: error.kind,
				};
			}
		},
	};
};
