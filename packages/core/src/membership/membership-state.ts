/**
 * Membership protocol based on SWIM. Each daemon sends one probe per period, and updates about members are piggybacked
 * on probes, so the traffic of a daemon doesn't grow with the number of members.
 */
import {hashText} from '../routing/rank-by-rendezvous.js';
import {
	isReachable, memberStatuses, type Member, type MembershipOptions, type MembershipState, type MemberUpdate,
} from './types.js';

type Random = () => number;

export const makeMembershipState = (self: MemberUpdate): MembershipState => ({
	self,
	members: new Map(),
	round: [],
	rumors: [{id: self.id, sentTimes: 0}],
});

/** Whether an update overrides what is known: a later epoch, then a higher incarnation, then a later status. A dead status is overridden only by a later epoch or a higher incarnation. */
const isNewer = (update: MemberUpdate, known: MemberUpdate): boolean => {
	if (update.epoch !== known.epoch) {
		return update.epoch > known.epoch;
	}

	if (known.status === 'dead' && update.incarnation <= known.incarnation) {
		return false;
	}

	if (update.incarnation !== known.incarnation) {
		return update.incarnation > known.incarnation;
	}

	return memberStatuses.indexOf(update.status) > memberStatuses.indexOf(known.status);
};

const addRumor = (state: MembershipState, id: string): MembershipState => ({
	...state,
	rumors: [{id, sentTimes: 0}, ...state.rumors.filter(rumor => rumor.id !== id)],
});

/** Refutes an update that reports this daemon as suspect or dead, by raising its incarnation. */
const refuteUpdate = (state: MembershipState, update: MemberUpdate): MembershipState => {
	const {self} = state;
	const isAboutThisProcess = update.epoch === self.epoch && update.incarnation >= self.incarnation;
	if (!isAboutThisProcess || update.status === self.status || (update.status !== 'suspect' && update.status !== 'dead')) {
		return state;
	}

	return addRumor({...state, self: {...self, incarnation: update.incarnation + 1}}, self.id);
};

const computeChangesAt = (update: MemberUpdate, now: number, options: MembershipOptions): number | undefined => {
	switch (update.status) {
		case 'suspect': {
			return now + options.suspectForMs;
		}

		case 'dead': {
			return now + options.deadRetentionMs;
		}

		case 'alive':
		case 'leaving': {
			return undefined;
		}
	}
};

/** Applies an update about a member, from a peer or from the instance list. */
export const applyUpdate = (state: MembershipState, update: MemberUpdate, now: number, options: MembershipOptions): MembershipState => {
	if (update.id === state.self.id) {
		return refuteUpdate(state, update);
	}

	if (update.region !== state.self.region) {
		return state;
	}

	const known = state.members.get(update.id);
	if (known !== undefined && !isNewer(update, known)) {
		return state;
	}

	if (known === undefined && update.status === 'dead') {
		return state;
	}

	const {id, address, availabilityZone, region, epoch, incarnation, status} = update;
	const member: Member = {
		id, address, availabilityZone, region, epoch, incarnation, status, changesAt: computeChangesAt(update, now, options),
	};
	return addRumor({...state, members: new Map(state.members).set(id, member)}, id);
};

export const applyUpdates = (state: MembershipState, updates: readonly MemberUpdate[], now: number, options: MembershipOptions): MembershipState => {
	let next = state;
	for (const update of updates) {
		next = applyUpdate(next, update, now, options);
	}

	return next;
};

/** Marks a member as suspect after its direct and indirect probes got no answer. */
export const suspectMember = (state: MembershipState, id: string, now: number, options: MembershipOptions): MembershipState => {
	const known = state.members.get(id);
	if (known === undefined || known.status === 'suspect' || known.status === 'dead') {
		return state;
	}

	return applyUpdate(state, {...known, status: 'suspect'}, now, options);
};

/** Declares members dead whose suspicion has timed out, and removes dead members after their retention time. */
export const expireMembers = (state: MembershipState, now: number, options: MembershipOptions): MembershipState => {
	let next = state;
	for (const member of state.members.values()) {
		if (member.changesAt === undefined || now < member.changesAt) {
			continue;
		}

		if (member.status === 'suspect') {
			next = applyUpdate(next, {...member, status: 'dead'}, now, options);
			continue;
		}

		const members = new Map(next.members);
		members.delete(member.id);
		next = {...next, members, rumors: next.rumors.filter(rumor => rumor.id !== member.id)};
	}

	return next;
};

const shuffle = (ids: readonly string[], random: Random): string[] => ids
	.map(id => ({id, order: random()}))
	.toSorted((left, right) => left.order - right.order)
	.map(entry => entry.id);

export type ProbeChoice = {
	readonly state: MembershipState;
	readonly target: Member | undefined;
};

/**
 * Chooses the member to probe in this period. Each member is probed once per round, so a failure is detected within two
 * rounds. Dead members are probed too until they are removed: after a network partition heals, they answer and rejoin.
 */
export const chooseProbeTarget = (state: MembershipState, random: Random): ProbeChoice => {
	let {round} = state;
	if (round.length === 0) {
		round = shuffle([...state.members.keys()], random);
	}

	const [first, ...rest] = round;
	return {state: {...state, round: rest}, target: first === undefined ? undefined : state.members.get(first)};
};

/** Chooses members that probe the target indirectly, on behalf of this daemon. */
export const chooseIndirectProbers = (state: MembershipState, target: string, count: number, random: Random): Member[] => {
	const candidates = [...state.members.values()].filter(member => member.id !== target && member.status === 'alive');
	return shuffle(candidates.map(member => member.id), random)
		.slice(0, count)
		.map(id => state.members.get(id)!);
};

/** Applies the member list that a new daemon receives. The other members know it already, so it isn't passed on. */
export const applyIntroduction = (state: MembershipState, updates: readonly MemberUpdate[], now: number, options: MembershipOptions): MembershipState => ({
	...applyUpdates(state, updates, now, options),
	rumors: state.rumors,
});

export type RumorChoice = {
	readonly state: MembershipState;
	readonly updates: readonly MemberUpdate[];
};

const toUpdate = ({id, address, availabilityZone, region, epoch, incarnation, status}: MemberUpdate): MemberUpdate => ({
	id, address, availabilityZone, region, epoch, incarnation, status,
});

/** Number of times that each member sends an update, per decimal digit of the number of members. */
const sendsPerDigit = 4;

/** Takes the updates to send with the next message. Each update is sent a number of times that grows logarithmically with the number of members. */
export const takeRumors = (state: MembershipState, options: MembershipOptions): RumorChoice => {
	const maxSends = sendsPerDigit * Math.ceil(Math.log10(state.members.size + 2));
	const chosen = state.rumors.slice(0, options.maxUpdates);
	const sent = chosen
		.map(rumor => ({...rumor, sentTimes: rumor.sentTimes + 1}))
		.filter(rumor => rumor.sentTimes < maxSends);
	const updates = chosen.flatMap(rumor => {
		const update = rumor.id === state.self.id ? state.self : state.members.get(rumor.id);
		return update === undefined ? [] : [toUpdate(update)];
	});
	return {
		// Least-sent updates go first. Otherwise the report of a failure would wait until all older updates were sent again.
		state: {...state, rumors: [...state.rumors.slice(options.maxUpdates), ...sent].toSorted((left, right) => left.sentTimes - right.sentTimes)},
		updates,
	};
};

/** Announces that this daemon is about to stop. */
export const announceLeaving = (state: MembershipState): MembershipState => addRumor({
	...state,
	self: {...state.self, status: 'leaving', incarnation: state.self.incarnation + 1},
}, state.self.id);

/** Returns the sorted ids of this daemon and of the members that can receive requests. */
export const listReachable = (state: MembershipState): string[] => [
	state.self.id,
	...[...state.members.values()].filter(member => isReachable(member) && member.status !== 'suspect').map(member => member.id),
].toSorted();

/** Returns the sorted ids of the members whose probes got no answer, but which may only be slow. */
export const listSuspected = (state: MembershipState): string[] =>
	[...state.members.values()].filter(member => member.status === 'suspect').map(member => member.id).toSorted();

/** Returns the sorted ids of daemons that can be assigned tasks: alive and not about to stop. If there are no others, this daemon is included even if it is leaving. */
export const listAssignable = (state: MembershipState): string[] => {
	const others = [...state.members.values()].filter(member => member.status === 'alive').map(member => member.id);
	const isSelfAssignable = state.self.status === 'alive' || others.length === 0;
	return (isSelfAssignable ? [state.self.id, ...others] : others).toSorted();
};

/** Computes a digest of the member list. Two daemons with equal digests don't need to compare their lists. */
export const digestMembers = (state: MembershipState): number => {
	const reachable = [state.self, ...state.members.values()].filter(member => isReachable(member));
	return hashText(reachable.map(member => `${member.id} ${member.epoch}`).toSorted().join('\n'));
};

/** Whether the process with this id and epoch is known to have ended. */
export const isProcessGone = (state: MembershipState, id: string, epoch: number): boolean => {
	if (id === state.self.id) {
		return epoch !== state.self.epoch;
	}

	const known = state.members.get(id);
	if (known === undefined) {
		return false;
	}

	return known.epoch > epoch || (known.epoch === epoch && known.status === 'dead');
};
