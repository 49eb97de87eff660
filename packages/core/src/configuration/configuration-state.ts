/**
 * State of the configuration stream, which every daemon computes in the same way. A record is accepted if and only if its base is
 * the version that is in force when the record is applied in log order.
 */
import {configurationStreamRecordSchema, type ConfigurationRecord, type RestatementRecord} from '@shallotpass/common/log-records.js';
import {type LogRecord} from '@shallotpass/common/log-service.js';
import {noConfigurationVersion, type ConfigurationVersion, type LogOffset} from '@shallotpass/common/types.js';
import {
	type AcceptedConfiguration,
	type ConfigurationState,
	type HistoryEntry,
	type PendingRecord,
	type TrimGap,
} from './types.js';

const maxHistoryEntries = 200;
const maxPendingRecords = 10_000;

export const emptyConfigurationState: ConfigurationState = {
	foldedTo: 0 as LogOffset,
	accepted: new Map(),
	history: [],
	lastWrittenAt: new Map(),
};

export const getAcceptedVersion = (state: ConfigurationState, team: string): ConfigurationVersion =>
	state.accepted.get(team)?.version ?? noConfigurationVersion;

const setAccepted = (state: ConfigurationState, accepted: AcceptedConfiguration, writtenAt: number): ConfigurationState => ({
	...state,
	accepted: new Map(state.accepted).set(accepted.team, accepted),
	lastWrittenAt: new Map(state.lastWrittenAt).set(accepted.team, writtenAt),
});

const addHistoryEntry = (state: ConfigurationState, entry: HistoryEntry): ConfigurationState => ({
	...state,
	history: [...state.history, entry].slice(-maxHistoryEntries),
});

const applyConfiguration = (state: ConfigurationState, record: ConfigurationRecord, logRecord: LogRecord): ConfigurationState => {
	const current = getAcceptedVersion(state, record.team);
	const offset = logRecord.offset as number as ConfigurationVersion;
	// A peer's offer can be ahead of this reader. The peer has already evaluated the records that it covers.
	if (offset <= current) {
		return state;
	}

	const {id, team, by, at} = record;
	const base = record.base as ConfigurationVersion;
	const verdict = base === current ? 'accepted' : 'conflict';
	const withEntry = addHistoryEntry(state, {
		id, team, offset, base, by, at, verdict, current,
	});
	if (verdict === 'conflict') {
		return withEntry;
	}

	return setAccepted(withEntry, {
		team, version: offset, id, toml: record.toml, by, at,
	}, logRecord.appendedAt);
};

/** A restatement of the accepted version renews the time at which it was last written. */
const applyRestatement = (state: ConfigurationState, record: RestatementRecord, logRecord: LogRecord): ConfigurationState => {
	if (getAcceptedVersion(state, record.team) !== record.version) {
		return state;
	}

	return {...state, lastWrittenAt: new Map(state.lastWrittenAt).set(record.team, logRecord.appendedAt)};
};

type StreamRecord = ConfigurationRecord | RestatementRecord;

const applyParsed = (state: ConfigurationState, record: StreamRecord, logRecord: LogRecord): ConfigurationState =>
	record.kind === 'configuration' ? applyConfiguration(state, record, logRecord) : applyRestatement(state, record, logRecord);

const parseRecord = (logRecord: Pick<LogRecord, 'record'>): StreamRecord | undefined => {
	const parsed = configurationStreamRecordSchema.safeParse(logRecord.record);
	return parsed.success ? parsed.data : undefined;
};

type SettleOptions = {
	readonly state: ConfigurationState;
	readonly gap: TrimGap;
	readonly team: string;
	/** Offset from which the team's pending records are evaluated. */
	readonly from: number;
};

/** Marks a team as settled and evaluates its pending records. */
export const settleTeam = (options: SettleOptions): ConfigurationState => {
	const {state, gap, team, from} = options;
	let next: ConfigurationState = {
		...state,
		gap: {
			...gap,
			settled: new Set(gap.settled).add(team),
			pending: gap.pending.filter(item => item.team !== team),
		},
	};
	for (const item of gap.pending) {
		const record = parseRecord(item);
		if (item.team === team && item.offset >= from && record !== undefined) {
			next = applyParsed(next, record, item);
		}
	}

	return next;
};

const addPending = (state: ConfigurationState, gap: TrimGap, item: PendingRecord): ConfigurationState => ({
	...state,
	gap: {...gap, pending: [...gap.pending, item].slice(-maxPendingRecords)},
});

/**
 * Applies a record while there is a gap. A restatement holds the version that was in force when its author had read the
 * log up to `foldedTo`. The reader adopts that version and evaluates its pending records from there on. If it already knows
 * a newer version it keeps that one, so a late restatement never replaces a newer version. A restatement whose author
 * had not read up to the trim is not used, because it doesn't cover the records in between.
 */
const applyDuringGap = (state: ConfigurationState, gap: TrimGap, logRecord: LogRecord): ConfigurationState => {
	const record = parseRecord(logRecord);
	if (record === undefined) {
		return state;
	}

	const {team, id, toml, by, at} = record;
	if (gap.settled.has(team)) {
		return applyParsed(state, record, logRecord);
	}

	const withPending = addPending(state, gap, {...logRecord, team});
	if (record.kind === 'configuration' || record.foldedTo < gap.earliest) {
		return withPending;
	}

	const version = record.version as ConfigurationVersion;
	const adopted = version > getAcceptedVersion(withPending, team)
		? setAccepted(withPending, {
			team, version, id, toml, by, at,
		}, logRecord.appendedAt)
		: withPending;
	return settleTeam({
		state: adopted, gap: withPending.gap!, team, from: record.foldedTo,
	});
};

/** Applies the next record of the stream. A record that was applied before changes nothing. */
export const applyConfigurationRecord = (state: ConfigurationState, logRecord: LogRecord): ConfigurationState => {
	if (logRecord.offset < state.foldedTo) {
		return state;
	}

	const advanced = {...state, foldedTo: (logRecord.offset + 1) as LogOffset};
	if (advanced.gap !== undefined) {
		return applyDuringGap(advanced, advanced.gap, logRecord);
	}

	const record = parseRecord(logRecord);
	return record === undefined ? advanced : applyParsed(advanced, record, logRecord);
};

/** Handles a trim of the records before `earliest`. If some of them were not read, opens a gap and keeps the accepted versions. */
export const applyTrim = (state: ConfigurationState, earliest: LogOffset): ConfigurationState => {
	if (earliest <= state.foldedTo) {
		return state;
	}

	return {...state, foldedTo: earliest, gap: {earliest, settled: new Set(), pending: []}};
};

/**
 * Closes the gap at the end of the log when no restatement and no peer has settled the remaining teams. Versions are
 * restated long before they are trimmed, so a team without a restatement has its first record still in the log. The
 * oldest record that is left is therefore accepted, whatever its base.
 */
export const closeGap = (state: ConfigurationState): ConfigurationState => {
	let next = state;
	for (const team of new Set(state.gap?.pending.map(item => item.team))) {
		const accepted = getAcceptedVersion(next, team);
		const first = next.gap!.pending.find(item => item.team === team && item.offset > accepted && parseRecord(item)?.kind === 'configuration');
		const record = first && parseRecord(first);
		if (first !== undefined && record?.kind === 'configuration') {
			next = applyConfiguration(next, {...record, base: accepted}, first);
		}

		next = settleTeam({
			state: next, gap: next.gap!, team, from: (first?.offset ?? -1) + 1,
		});
	}

	return {...next, gap: undefined};
};
