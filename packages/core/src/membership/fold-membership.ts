/**
 * Membership by probes, in the manner of SWIM: one probe a period and news that
 * rides on it, so that the bytes of one daemon do not grow with their number.
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

const withRumor = (state: MembershipState, id: string): MembershipState => ({
	...state,
	rumors: [{id, sentTimes: 0}, ...state.rumors.filter(rumor => rumor.id !== id)],
});

/** Answers news of one's own suspicion or death with a higher incarnation. */
const refute = (state: MembershipState, update: MemberUpdate): MembershipState => {
	const {self} = state;
	const isOurs = update.epoch === self.epoch && update.incarnation >= self.incarnation;
	if (!isOurs || update.status === self.status || (update.status !== 'suspect' && update.status !== 'dead')) {
		return state;
	}

	return withRumor({...state, self: {...self, incarnation: update.incarnation + 1}}, self.id);
};

const computeChangesAt = (update: MemberUpdate, now: number, options: MembershipOptions): number | undefined => {
	switch (update.status) {
		case 'suspect': {
			return now + options.suspectForMs;
		}

		case 'dead': {
			return now + options.forgetAfterMs;
		}

		case 'alive':
		case 'leaving': {
			return undefined;
		}
	}
};

/** Takes one piece of news about a member, from a peer or from the instance list. */
export const applyUpdate = (state: MembershipState, update: MemberUpdate, now: number, options: MembershipOptions): MembershipState => {
	if (update.id === state.self.id) {
		return refute(state, update);
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
	return withRumor({...state, members: new Map(state.members).set(id, member)}, id);
};

export const applyUpdates = (state: MembershipState, updates: readonly MemberUpdate[], now: number, options: MembershipOptions): MembershipState => {
	let next = state;
	for (const update of updates) {
		next = applyUpdate(next, update, now, options);
	}

	return next;
};

/** A probe and the indirect ones after it got no answer. */
export const suspectMember = (state: MembershipState, id: string, now: number, options: MembershipOptions): MembershipState => {
	const known = state.members.get(id);
	if (known === undefined || known.status === 'suspect' || known.status === 'dead') {
		return state;
	}

	return applyUpdate(state, {...known, status: 'suspect'}, now, options);
};

/** Turns suspicions whose time is up into deaths, and forgets deaths whose time is up. */
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
 * The member to probe in this period. Every member comes once a round, so that
 * no death goes unnoticed for longer than two rounds. The dead are probed too
 * while they are remembered: after a cut heals they answer and return.
 */
export const chooseProbe = (state: MembershipState, random: Random): ProbeChoice => {
	let {round} = state;
	if (round.length === 0) {
		round = shuffle([...state.members.keys()], random);
	}

	const [first, ...rest] = round;
	return {state: {...state, round: rest}, target: first === undefined ? undefined : state.members.get(first)};
};

/** Members that may probe the target in this daemon's stead. */
export const chooseHelpers = (state: MembershipState, target: string, count: number, random: Random): Member[] => {
	const candidates = [...state.members.values()].filter(member => member.id !== target && member.status === 'alive');
	return shuffle(candidates.map(member => member.id), random)
		.slice(0, count)
		.map(id => state.members.get(id)!);
};

/** Takes what a newcomer is told of everybody; it is news to nobody else and is not passed on. */
export const takeIntroduction = (state: MembershipState, updates: readonly MemberUpdate[], now: number, options: MembershipOptions): MembershipState => ({
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

/** Times that a piece of news is sent by each member, for each decimal digit of their number. */
const sendsPerDigit = 4;

/** The news to send with the next message; each piece is sent a number of times that grows with the logarithm of the members. */
export const takeRumors = (state: MembershipState, options: MembershipOptions): RumorChoice => {
	const mostTimes = sendsPerDigit * Math.ceil(Math.log10(state.members.size + 2));
	const chosen = state.rumors.slice(0, options.mostUpdates);
	const sent = chosen
		.map(rumor => ({...rumor, sentTimes: rumor.sentTimes + 1}))
		.filter(rumor => rumor.sentTimes < mostTimes);
	const updates = chosen.flatMap(rumor => {
		const update = rumor.id === state.self.id ? state.self : state.members.get(rumor.id);
		return update === undefined ? [] : [toUpdate(update)];
	});
	return {
		// What was sent least goes first; else old news would hold up a death for a whole round of it.
		state: {...state, rumors: [...state.rumors.slice(options.mostUpdates), ...sent].toSorted((left, right) => left.sentTimes - right.sentTimes)},
		updates,
	};
};

/** This daemon is about to stop and says so. */
export const announceLeaving = (state: MembershipState): MembershipState => withRumor({
	...state,
	self: {...state.self, status: 'leaving', incarnation: state.self.incarnation + 1},
}, state.self.id);

/** Ids of this daemon and of the members that can be asked, sorted. */
export const listReachable = (state: MembershipState): string[] => [
	state.self.id,
	...[...state.members.values()].filter(member => isReachable(member) && member.status !== 'suspect').map(member => member.id),
].toSorted();

/** Ids of those that may be given duties: reachable and not about to stop. Never empty: alone, this daemon does all itself. */
export const listSteady = (state: MembershipState): string[] => {
	const others = [...state.members.values()].filter(member => member.status === 'alive').map(member => member.id);
	const isSelfSteady = state.self.status === 'alive' || others.length === 0;
	return (isSelfSteady ? [state.self.id, ...others] : others).toSorted();
};

/** Digest of who is a member; two daemons with the same one need not compare their lists. */
export const digestView = (state: MembershipState): number => {
	const living = [state.self, ...state.members.values()].filter(member => isReachable(member));
	return hashText(living.map(member => `${member.id} ${member.epoch}`).toSorted().join('\n'));
};

/** Whether the process with this id and start is known to be gone. */
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
