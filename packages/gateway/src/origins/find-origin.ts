/** Finds the origin of a stream that its caller takes up: here, or at the daemons that may remember it. */
import {findOriginRecord, joinRecords, readOrigin} from '@shallotpass/core/origins/origin-ledger.js';
import {askedPerStream, type OriginKeeper} from '@shallotpass/core/origins/pick-origin-keepers.js';
import {reportedOriginsSchema, toOriginRecord} from '@shallotpass/core/origins/reported-origins.js';
import {type KnownOrigin, type OriginRecord} from '@shallotpass/core/origins/types.js';
import {needsRelays} from '@shallotpass/core/gossip/pick-relays.js';
import {type GatewayState} from '../gateway-state.js';
import {waitForPendingOrigin} from './origin-state.js';

/** Timeouts of the rounds of questions: a datagram may be lost on its way, or a daemon be busy. */
const roundTimeoutsMs = [120, 400] as const;

/** Time for which a take-up waits for a version that this daemon is finding out, as long as for those of others. */
const pendingWaitMs = 520;

export type OriginLookup = KnownOrigin & {
	/** Daemon that knew it. Undefined if it is not known. */
	readonly source: string | undefined;
	/** Addresses of the daemons that were asked, and of those that gave no answer. */
	readonly daemons: readonly string[];
	readonly silent: readonly string[];
};

type Answer = {readonly address: string; readonly record: OriginRecord | undefined};

type Question = {readonly key: string; readonly timeoutMs: number};

const askKeeper = async (gateway: GatewayState, keeper: OriginKeeper, {key, timeoutMs}: Question): Promise<Answer> => {
	const reported = reportedOriginsSchema.parse(await gateway.origins.ask(keeper, key, timeoutMs)).find(([reportedKey]) => reportedKey === key);
	return {address: keeper.address, record: reported && toOriginRecord(reported, gateway.clocks.steady())};
};

type Round = {
	/** The first record that was found. */
	readonly found: Answer | undefined;
	readonly silent: readonly OriginKeeper[];
};

/** Asks daemons at once and waits for the first that knows the stream, or for all. */
const askAll = async (gateway: GatewayState, keepers: readonly OriginKeeper[], question: Question): Promise<Round> => {
	const silent = new Set(keepers);
	const answers = keepers.map(async keeper => {
		const answer = await askKeeper(gateway, keeper, question);
		silent.delete(keeper);
		if (answer.record === undefined) {
			throw new Error('unknown there');
		}

		return answer;
	});
	try {
		return {found: await Promise.any(answers), silent: []};
	} catch {
		return {found: undefined, silent: [...silent]};
	}
};

/** Looks up the origin. Takes no time if this daemon knows it, and some ten milliseconds if another one does. */
export const findOrigin = async (gateway: GatewayState, key: string): Promise<OriginLookup> => {
	const {origins, clocks, settings} = gateway;
	await waitForPendingOrigin(origins, key, {timeoutMs: pendingWaitMs, signal: gateway.stopSignal});
	const own = findOriginRecord(origins.ledger, key, clocks.steady());
	if (own !== undefined) {
		return {
			...readOrigin(own), source: settings.instance.id, daemons: [], silent: [],
		};
	}

	const listed = origins.listKnowing(key);
	let keepers = needsRelays(gateway.listMembers().length) ? listed.slice(0, askedPerStream) : listed;
	const daemons = keepers.map(({address}) => address);
	for (const timeoutMs of keepers.length > 0 ? roundTimeoutsMs : []) {
		const {found, silent} = await askAll(gateway, keepers, {key, timeoutMs}); // eslint-disable-line no-await-in-loop -- only the silent ones are asked again
		if (found?.record !== undefined) {
			// A record that arrived here meanwhile may show that the id is ambiguous.
			const arrived = findOriginRecord(origins.ledger, key, clocks.steady());
			const record = arrived === undefined ? found.record : joinRecords(arrived, found.record);
			return {
				...readOrigin(record), source: found.address, daemons, silent: [],
			};
		}

		keepers = silent;
		if (silent.length === 0) {
			break;
		}
	}

	return {
		kind: 'unknown', source: undefined, daemons, silent: keepers.map(({address}) => address),
	};
};
