/** Maintains the region's member list: probes members, detects failures and spreads updates by gossip. */
import {waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {startTask, type FoldResult} from '@shallotpass/common/task.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {
	announceLeaving,
	applyUpdates,
	chooseIndirectProbers,
	chooseProbeTarget,
	digestMembers,
	expireMembers,
	isProcessGone,
	listReachable,
	listSuspected,
	listAssignable,
	makeMembershipState,
	suspectMember,
	applyIntroduction,
	takeRumors,
} from '@shallotpass/core/membership/membership-state.js';
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
	/** Lists the ids of this daemon and of all reachable members, sorted. */
	readonly listReachable: () => string[];
	/** Lists the ids of the members whose probes got no answer, but which may only be slow, sorted. */
	readonly listSuspected: () => string[];
	/** Lists the ids of the members that can be assigned tasks, sorted. */
	readonly listAssignable: () => string[];
	readonly findAddress: (id: string) => string | undefined;
	readonly listPeers: () => Member[];
	/** Whether the daemon process with this start time is known to have ended. */
	readonly isProcessGone: (id: string, epoch: number) => boolean;
	/** Handles a probe from a peer and returns this daemon's updates. */
	readonly answerProbe: (parameters: PeerParameters<'probe'>, from: string) => PeerResult<'probe'>;
	/** Probes a member on behalf of a peer that cannot reach it. */
	readonly answerProbeFor: (id: string) => Promise<PeerResult<'probeFor'>>;
	/** Adds addresses from the instance list, which are probed like the seeds. */
	readonly addCandidateAddresses: (addresses: readonly string[]) => void;
	readonly announceLeaving: () => void;
	/** Starts probing. Call it only when this daemon listens at the address. */
	readonly start: (address: string) => void;
};

type MembershipTaskOptions = {
	readonly environment: Environment;
	readonly client: PeerClient;
	/** Start time of this daemon's process. */
	readonly epoch: number;
	readonly makeVersionDigest: () => Record<string, number>;
	readonly receiveVersions: (address: string, versions: Readonly<Record<string, number>>) => void;
};

const indirectProbeCount = 3;

/** An address without a known member is probed once in this many periods, so that groups separated by a network partition rejoin. */
const periodsPerUnknownProbe = 5;

/** Maximum number of members sent to a new member. */
const maxIntroducedMembers = 512;

/** The full member list is requested after this many consecutive probes with a different view, and on average at most once in `minPeriodsBetweenSyncs` periods. */
const differingProbesBeforeSync = 3;
const minPeriodsBetweenSyncs = 10;

/** Share of the probe period spent on the direct probe; the rest is left for indirect probes. */
const directProbeShare = 0.5;

export const startMembershipTask = (options: MembershipTaskOptions): MembershipTask => {
	const {environment, client} = options;
	const {settings, clock, random, signal, metrics} = environment;
	const logger = environment.makeLogger('membership');
	const membershipOptions: MembershipOptions = {...defaultMembershipOptions, suspectForMs: settings.peers.suspectForMs};
	const {probeEveryMs} = settings.peers;
	const candidateAddresses = new Set(settings.peers.seeds);
	let consecutiveDifferences = 0;
	let nextSyncAt = 0;

	const fold = (state: MembershipState, message: Message): FoldResult<MembershipState, never> => {
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
		perform() {/* the task has no effects */},
		onError(error) {
			logger.error('task_failed', {error});
		},
		signal,
	});

	/** Collects the updates for one message: this daemon's own state, the receiver's state if it is suspected, and pending gossip. */
	const collectUpdates = (receiver?: Member): MemberUpdate[] => {
		const choice = takeRumors(task.getState(), membershipOptions);
		task.send({kind: 'replace', change: state => takeRumors(state, membershipOptions).state});
		const {self} = task.getState();
		const isReceiverSuspected = receiver?.status === 'suspect' || receiver?.status === 'dead';
		return [self, ...(isReceiverSuspected ? [receiver] : []), ...choice.updates.filter(update => update.id !== self.id)];
	};

	/**
	 * Counts consecutive probes whose member view differs from this daemon's. An update that is spread while few
	 * members are known, such as when many daemons start at once, may not reach everyone. A persistent
	 * difference shows this, and the full member list is requested.
	 */
	const trackViewDifference = (view: number): void => {
		consecutiveDifferences = view === digestMembers(task.getState()) ? 0 : consecutiveDifferences + 1;
	};

	/** Whether the next probe requests the full member list. If so, further requests are blocked for some periods. */
	const requestIntroductionIfDue = (): boolean => {
		const now = clock.now();
		if (consecutiveDifferences < differingProbesBeforeSync || now < nextSyncAt) {
			return false;
		}

		nextSyncAt = now + (probeEveryMs * minPeriodsBetweenSyncs * (0.5 + random()));
		return true;
	};

	const probe = async (address: string, receiver: Member | undefined, timeoutMs: number): Promise<boolean> => {
		try {
			const reply = await client.call(
				address,
				'probe',
				{updates: collectUpdates(receiver), versions: options.makeVersionDigest(), wantsIntroduction: requestIntroductionIfDue()},
				addMilliseconds(clock.now(), timeoutMs),
			);
			task.send({kind: 'replace', change: state => applyIntroduction(state, reply.introduction, clock.now(), membershipOptions)});
			task.send({kind: 'updates', updates: reply.updates});
			trackViewDifference(reply.view);
			options.receiveVersions(address, reply.versions);
			return true;
		} catch (error) {
			logger.debug('probe_unanswered', {address, error});
			return false;
		}
	};

	const probeIndirectly = async (target: Member): Promise<boolean> => {
		const helpers = chooseIndirectProbers(task.getState(), target.id, indirectProbeCount, random);
		const answers = await Promise.all(helpers.map(async helper => {
			try {
				const {isAlive} = await client.call(helper.address, 'probeFor', {id: target.id}, addMilliseconds(clock.now(), probeEveryMs));
				return isAlive;
			} catch {
				return false;
			}
		}));
		return answers.includes(true);
	};

	const probeMember = async (target: Member): Promise<void> => {
		if (await probe(target.address, target, probeEveryMs * directProbeShare)) {
			return;
		}

		if (target.status !== 'dead' && !await probeIndirectly(target)) {
			logger.info('member_suspected', {member: target.id});
			task.send({kind: 'no_answer', id: target.id});
		}
	};

	const probeUnknownAddress = async (): Promise<void> => {
		const knownAddresses = new Set([...task.getState().members.values()].map(member => member.address));
		const unknownAddresses = [...candidateAddresses].filter(address => !knownAddresses.has(address) && address !== task.getState().self.address);
		const address = unknownAddresses[Math.floor(random() * unknownAddresses.length)];
		if (address !== undefined) {
			await probe(address, undefined, probeEveryMs);
		}
	};

	const updateMetrics = (): void => {
		const {members} = task.getState();
		for (const status of memberStatuses) {
			metrics.members.set({status}, [...members.values()].filter(member => member.status === status).length);
		}

		metrics.peerBytes.set({direction: 'client_sent'}, client.bytes.sent);
		metrics.peerBytes.set({direction: 'client_received'}, client.bytes.received);
	};

	const runProbeLoop = async (): Promise<void> => {
		for (let period = 0; !signal.aborted; period++) {
			task.send({kind: 'expire'});
			const choice = chooseProbeTarget(task.getState(), random);
			task.send({kind: 'replace', change: state => ({...state, round: choice.state.round})});
			if (choice.target !== undefined) {
				void probeMember(choice.target);
			}

			if (choice.target === undefined || period % periodsPerUnknownProbe === 0) {
				void probeUnknownAddress();
			}

			updateMetrics();
			// Jitter keeps daemons that started together from probing at the same moments.
			const next = addMilliseconds(clock.now(), probeEveryMs * (0.9 + (random() * 0.2)));
			await waitUntilOrAborted(clock, next, signal); // eslint-disable-line no-await-in-loop
		}
	};

	return {
		getState: task.getState,
		getSelf: () => task.getState().self,
		listReachable: () => listReachable(task.getState()),
		listSuspected: () => listSuspected(task.getState()),
		listAssignable: () => listAssignable(task.getState()),
		findAddress: id => task.getState().members.get(id)?.address,
		listPeers: () => [...task.getState().members.values()].filter(member => member.status !== 'dead'),
		isProcessGone: (id, epoch) => isProcessGone(task.getState(), id, epoch),
		answerProbe({updates, versions, wantsIntroduction: isWanted}, from) {
			const sender = task.getState().members.get(from);
			task.send({kind: 'updates', updates});
			const address = updates.find(update => update.id === from)?.address ?? sender?.address;
			if (address !== undefined) {
				options.receiveVersions(address, versions);
			}

			const introduction = sender === undefined || isWanted ? [...task.getState().members.values()].slice(0, maxIntroducedMembers) : [];
			return {
				updates: collectUpdates(sender),
				introduction,
				versions: options.makeVersionDigest(),
				view: digestMembers(task.getState()),
			};
		},
		async answerProbeFor(id) {
			const target = task.getState().members.get(id);
			return {isAlive: target !== undefined && await probe(target.address, target, probeEveryMs * directProbeShare)};
		},
		addCandidateAddresses(addresses) {
			for (const address of addresses) {
				candidateAddresses.add(address);
			}
		},
		announceLeaving() {
			task.send({kind: 'leave'});
		},
		start(address) {
			task.send({kind: 'replace', change: state => ({...state, self: {...state.self, address}})});
			queueMicrotask(() => {
				void runProbeLoop();
			});
		},
	};
};
