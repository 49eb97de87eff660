/** Discovers other daemons: each daemon registers itself in the platform's store and reads the other members. */
import {Buffer} from 'node:buffer';
import {decodeJson} from '@shallotpass/common/decode-json.js';
import {type GossipMember, gossipMemberSchema} from '@shallotpass/core/gossip/gossip-member.js';
import {type StoreRole} from '@shallotpass/core/gossip/store-role.js';
import {assumedDaemons} from '../calls/repeat-limit.js';
import {type GatewayState} from '../gateway-state.js';
import {pauseFor} from '../pause.js';
import {type Platform} from '../ports.js';
import {makeRefusalReporter, type RefusalReporter} from '../store/report-refused.js';

const membersTimeoutMs = 1500;
const membersRetryMs = 1000;

/** When all daemons start for the first time, the others register within this time. */
const firstStartDelayMs = 900;

/** Intervals at which the daemon that reads the store for all reads the members: during the first seconds after its start, and later. */
const earlyReadIntervalMs = 1800;
const earlyPeriodMs = 8000;
const lateReadIntervalMs = 12_000;

/** The members known to this daemon. */
export type MemberList = {
	readonly list: () => readonly GossipMember[];
	readonly add: (member: GossipMember) => void;
};

export type JoinOptions = {
	readonly gateway: GatewayState;
	readonly platform: Platform;
	readonly self: GossipMember;
	readonly members: MemberList;
	readonly getStoreRole: () => StoreRole;
	readonly signal: AbortSignal;
};

/**
 * Returns the number of registered daemons after a listing. One that does not reach its own end lacks members, which may repeat calls
 * all the same: it raises the number, but does not lower it, nor the one that is assumed until the members are read.
 */
const countRegistered = (before: number | undefined, readable: number, isWhole: boolean): number | undefined => {
	if (isWhole) {
		return readable;
	}

	return readable > (before ?? assumedDaemons) ? readable : before;
};

/** Reads the members from the store. Returns whether this daemon is registered, or undefined if the store does not answer. */
const readMembers = async ({gateway, platform, self, members, signal}: JoinOptions, reportRefused: RefusalReporter): Promise<boolean | undefined> => {
	const listing = await platform.store.readNewest('members', {timeoutMs: membersTimeoutMs, signal});
	if (listing.kind === 'failed') {
		return undefined;
	}

	let isListed = false;
	let readable = 0;
	for (const record of listing.records) {
		const decoded = record.value && decodeJson(record.value, gossipMemberSchema);
		if (decoded?.kind === 'refused') {
			reportRefused(record, decoded.field);
		}

		if (decoded?.kind === 'decoded') {
			const member = decoded.value;
			readable++;
			isListed ||= member.id === self.id && member.address === self.address && member.takesCalls === self.takesCalls && member.keepsQuotas === self.keepsQuotas && member.keepsOrigins === self.keepsOrigins;
			members.add(member);
		}
	}

	const end = Math.max(0, ...listing.records.map(({offset}) => offset + 1));
	gateway.registeredDaemons = countRegistered(gateway.registeredDaemons, readable, end >= listing.end);
	gateway.log.write('state', 'members_read', {members: listing.records.length, known: members.list().length});
	return isListed;
};

/** Registers this daemon in the store. Returns whether the record was stored. */
const registerMember = async ({platform, self, signal}: JoinOptions): Promise<boolean> => {
	const value = Buffer.from(JSON.stringify(self));
	const reply = await platform.store.append('members', [{key: self.id, value}], {timeoutMs: membersTimeoutMs, signal});
	return reply.kind === 'appended';
};

const getReadIntervalMs = ({clocks, startedAt}: GatewayState): number => clocks.steady() < startedAt + earlyPeriodMs ? earlyReadIntervalMs : lateReadIntervalMs;

/**
 * Registers this daemon in the store unless it is registered from an earlier start, and reads the
 * members once. The reader of the store keeps reading them, and the other daemons receive them from it.
 */
export const joinMembers = async (options: JoinOptions): Promise<void> => {
	const {gateway, members, signal} = options;
	const isFirstStart = gateway.settings.instance.firstStart;
	let isRegistered = false;
	let hasRead = false;
	const reportRefused = makeRefusalReporter(gateway.log, 'members');
	if (isFirstStart) {
		isRegistered = await registerMember(options);
		await pauseFor(firstStartDelayMs, signal);
	}

	while (!signal.aborted) {
		if (!hasRead || !isRegistered || options.getStoreRole().rank === 0) {
			const isListed = await readMembers(options, reportRefused); // eslint-disable-line no-await-in-loop -- retried until it succeeds
			hasRead ||= isListed !== undefined;
			isRegistered ||= isListed ?? false;
			if (!isRegistered && hasRead) {
				isRegistered = await registerMember(options); // eslint-disable-line no-await-in-loop -- retried until it succeeds
			}
		}

		const delayMs = hasRead && isRegistered ? getReadIntervalMs(gateway) : membersRetryMs;
		// eslint-disable-next-line no-await-in-loop -- delay between attempts
		await pauseFor(delayMs * (0.75 + (0.5 * gateway.random())), signal);
	}
};
