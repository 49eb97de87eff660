/** Owns the members of the region: probes them, takes and passes on news. */
import {waitQuietly} from '@shallotpass/common/clock.js';
import {startTask, type Step} from '@shallotpass/common/task.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {
	announceLeaving,
	applyUpdates,
	chooseHelpers,
	chooseProbe,
	digestView,
	expireMembers,
	isProcessGone,
	listReachable,
	listSteady,
	makeMembershipState,
	suspectMember,
	takeIntroduction,
	takeRumors,
} from '@shallotpass/core/membership/fold-membership.js';
import {
	defaultMembershipOptions,
	memberStatuses,
	type Member,
	type MembershipOptions,
	type MembershipState,
	type MemberUpdate,
} from '@shallotpass/core/membership/types.js';
import {type PeerClient} from '@shallotpass/peers/peer-client.js';
import {type PeerParameters, type PeerResult} from '@shallotpass/peers/peer-methods.js';
import {type Environment} from './environment.js';

type Message =
	| {readonly kind: 'updates'; readonly updates: readonly MemberUpdate[]}
	| {readonly kind: 'no_answer'; readonly id: string}
	| {readonly kind: 'expire'}
	| {readonly kind: 'replace'; readonly change: (state: MembershipState) => MembershipState}
	| {readonly kind: 'leave'};

export type MembershipTask = {
	readonly getState: () => MembershipState;
	readonly getSelf: () => MemberUpdate;
	/** Ids of this daemon and of the members that can be asked, sorted. */
	readonly listReachable: () => string[];
	/** Ids of those that may be given duties, sorted. */
	readonly listSteady: () => string[];
	readonly findAddress: (id: string) => string | undefined;
	readonly listPeers: () => Member[];
	readonly isProcessGone: (id: string, epoch: number) => boolean;
	readonly answerProbe: (parameters: PeerParameters<'probe'>, from: string) => PeerResult<'probe'>;
	readonly answerProbeFor: (id: string) => Promise<PeerResult<'probeFor'>>;
	/** Addresses from the instance list, to be probed like seeds. */
	readonly noteAddresses: (addresses: readonly string[]) => void;
	readonly announceLeaving: () => void;
	/** Starts the probes; not before this daemon listens itself. */
	readonly start: (address: string) => void;
};

type MembershipTaskOptions = {
	readonly environment: Environment;
	readonly client: PeerClient;
	readonly epoch: number;
	readonly makeVersionDigest: () => Record<string, number>;
	readonly takeVersions: (address: string, versions: Readonly<Record<string, number>>) => void;
};

const helperCount = 3;

/** Every so many periods an address without a known member is tried, so that groups cut apart find each other again. */
const strangerTurn = 5;

/** Most members told to one that is new. */
const mostIntroduced = 512;

/** After so many probes in a row with another view the whole list is asked for, at most once in so many periods. */
const differingProbes = 3;
const introductionTurn = 10;

/** A probe gets this part of the period; the rest is for helpers. */
const probeShare = 0.5;

export const startMembershipTask = (options: MembershipTaskOptions): MembershipTask => {
	const {environment, client} = options;
	const {settings, clock, random, signal, metrics} = environment;
	const logger = environment.makeLogger('membership');
	const membershipOptions: MembershipOptions = {...defaultMembershipOptions, suspectForMs: settings.peers.suspectForMs};
	const {probeEveryMs} = settings.peers;
	const strangers = new Set(settings.peers.seeds);
	let differing = 0;
	let nextIntroductionAt = 0;

	const fold = (state: MembershipState, message: Message): Step<MembershipState, never> => {
		switch (message.kind) {
			case 'updates': {
				return {state: applyUpdates(state, message.updates, clock.now(), membershipOptions), effects: []};
			}

			case 'no_answer': {
				return {state: suspectMember(state, message.id, clock.now(), membershipOptions), effects: []};
			}

			case 'expire': {
				return {state: expireMembers(state, clock.now(), membershipOptions), effects: []};
			}

			case 'replace': {
				return {state: message.change(state), effects: []};
			}

			case 'leave': {
				return {state: announceLeaving(state), effects: []};
			}
		}
	};

	const task = startTask<MembershipState, Message, never>({
		initial: makeMembershipState({
			id: settings.instance.id,
			address: '',
			availabilityZone: settings.instance.availabilityZone,
			region: settings.instance.region,
			epoch: options.epoch,
			incarnation: 0,
			status: 'alive',
		}),
		fold,
		perform() {/* folding is all */},
		onError(error) {
			logger.error('task_failed', {error});
		},
		signal,
	});

	/** News for one message: this daemon itself, what is thought of the receiver, and rumors. */
	const takeUpdates = (receiver?: Member): MemberUpdate[] => {
		const choice = takeRumors(task.getState(), membershipOptions);
		task.send({kind: 'replace', change: state => takeRumors(state, membershipOptions).state});
		const {self} = task.getState();
		const isDoubted = receiver?.status === 'suspect' || receiver?.status === 'dead';
		return [self, ...(isDoubted ? [receiver] : []), ...choice.updates.filter(update => update.id !== self.id)];
	};

	/**
	 * News that was passed on while few members were known dies out before it has
	 * reached all, as when many daemons start at once. A view that keeps differing from
	 * those of others shows it, and the whole list is asked for.
	 */
	const compareView = (view: number): void => {
		differing = view === digestView(task.getState()) ? 0 : differing + 1;
	};

	const wantsIntroduction = (): boolean => {
		const now = clock.now();
		if (differing < differingProbes || now < nextIntroductionAt) {
			return false;
		}

		nextIntroductionAt = now + (probeEveryMs * introductionTurn * (0.5 + random()));
		return true;
	};

	const probe = async (address: string, receiver: Member | undefined, milliseconds: number): Promise<boolean> => {
		try {
			const reply = await client.ask(
				address,
				'probe',
				{updates: takeUpdates(receiver), versions: options.makeVersionDigest(), wantsIntroduction: wantsIntroduction()},
				addMilliseconds(clock.now(), milliseconds),
			);
			task.send({kind: 'replace', change: state => takeIntroduction(state, reply.introduction, clock.now(), membershipOptions)});
			task.send({kind: 'updates', updates: reply.updates});
			compareView(reply.view);
			options.takeVersions(address, reply.versions);
			return true;
		} catch (error) {
			logger.debug('probe_unanswered', {address, error});
			return false;
		}
	};

	const probeThroughHelpers = async (target: Member): Promise<boolean> => {
		const helpers = chooseHelpers(task.getState(), target.id, helperCount, random);
		const answers = await Promise.all(helpers.map(async helper => {
			try {
				const {isAlive} = await client.ask(helper.address, 'probeFor', {id: target.id}, addMilliseconds(clock.now(), probeEveryMs));
				return isAlive;
			} catch {
				return false;
			}
		}));
		return answers.includes(true);
	};

	const probeMember = async (target: Member): Promise<void> => {
		if (await probe(target.address, target, probeEveryMs * probeShare)) {
			return;
		}

		if (target.status !== 'dead' && !await probeThroughHelpers(target)) {
			logger.info('member_suspected', {member: target.id});
			task.send({kind: 'no_answer', id: target.id});
		}
	};

	const probeStranger = async (): Promise<void> => {
		const known = new Set([...task.getState().members.values()].map(member => member.address));
		const unknown = [...strangers].filter(address => !known.has(address) && address !== task.getState().self.address);
		const address = unknown[Math.floor(random() * unknown.length)];
		if (address !== undefined) {
			await probe(address, undefined, probeEveryMs);
		}
	};

	const report = (): void => {
		const {members} = task.getState();
		for (const status of memberStatuses) {
			metrics.members.set({status}, [...members.values()].filter(member => member.status === status).length);
		}

		metrics.peerBytes.set({direction: 'client_sent'}, client.bytes.sent);
		metrics.peerBytes.set({direction: 'client_received'}, client.bytes.received);
	};

	const run = async (): Promise<void> => {
		for (let period = 0; !signal.aborted; period++) {
			task.send({kind: 'expire'});
			const choice = chooseProbe(task.getState(), random);
			task.send({kind: 'replace', change: state => ({...state, round: choice.state.round})});
			if (choice.target !== undefined) {
				void probeMember(choice.target);
			}

			if (choice.target === undefined || period % strangerTurn === 0) {
				void probeStranger();
			}

			report();
			// Jitter keeps daemons that were started together from probing in step.
			const next = addMilliseconds(clock.now(), probeEveryMs * (0.9 + (random() * 0.2)));
			await waitQuietly(clock, next, signal); // eslint-disable-line no-await-in-loop
		}
	};

	return {
		getState: task.getState,
		getSelf: () => task.getState().self,
		listReachable: () => listReachable(task.getState()),
		listSteady: () => listSteady(task.getState()),
		findAddress: id => task.getState().members.get(id)?.address,
		listPeers: () => [...task.getState().members.values()].filter(member => member.status !== 'dead'),
		isProcessGone: (id, epoch) => isProcessGone(task.getState(), id, epoch),
		answerProbe({updates, versions, wantsIntroduction: isWanted}, from) {
			const sender = task.getState().members.get(from);
			task.send({kind: 'updates', updates});
			const address = updates.find(update => update.id === from)?.address ?? sender?.address;
			if (address !== undefined) {
				options.takeVersions(address, versions);
			}

			const introduction = sender === undefined || isWanted ? [...task.getState().members.values()].slice(0, mostIntroduced) : [];
			return {
				updates: takeUpdates(sender),
				introduction,
				versions: options.makeVersionDigest(),
				view: digestView(task.getState()),
			};
		},
		async answerProbeFor(id) {
			const target = task.getState().members.get(id);
			return {isAlive: target !== undefined && await probe(target.address, target, probeEveryMs * probeShare)};
		},
		noteAddresses(addresses) {
			for (const address of addresses) {
				strangers.add(address);
			}
		},
		announceLeaving() {
			task.send({kind: 'leave'});
		},
		start(address) {
			task.send({kind: 'replace', change: state => ({...state, self: {...state.self, address}})});
			queueMicrotask(() => {
				void run();
			});
		},
	};
};
