/**
 * The fold that every daemon runs over the configuration stream. Log order
 * decides alone: a record is accepted if and only if its base is the version
 * that is accepted when the record is reached.
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

const longestHistory = 200;
const mostPendingRecords = 10_000;

export const emptyConfigurationState: ConfigurationState = {
	foldedTo: 0 as LogOffset,
	accepted: new Map(),
	history: [],
	statedAt: new Map(),
};

export const getAcceptedVersion = (state: ConfigurationState, team: string): ConfigurationVersion =>
	state.accepted.get(team)?.version ?? noConfigurationVersion;

const withAccepted = (state: ConfigurationState, accepted: AcceptedConfiguration, statedAt: number): ConfigurationState => ({
	...state,
	accepted: new Map(state.accepted).set(accepted.team, accepted),
	statedAt: new Map(state.statedAt).set(accepted.team, statedAt),
});

const withHistory = (state: ConfigurationState, entry: HistoryEntry): ConfigurationState => ({
	...state,
	history: [...state.history, entry].slice(-longestHistory),
});

const judgeRecord = (state: ConfigurationState, record: ConfigurationRecord, source: LogRecord): ConfigurationState => {
	const current = getAcceptedVersion(state, record.team);
	const offset = source.offset as number as ConfigurationVersion;
	// A peer's offer can run ahead of this reader; what it covers has been judged there.
	if (offset <= current) {
		return state;
	}

	const {id, team, by, at} = record;
	const base = record.base as ConfigurationVersion;
	const verdict = base === current ? 'accepted' : 'conflict';
	const judged = withHistory(state, {
		id, team, offset, base, by, at, verdict, current,
	});
	if (verdict === 'conflict') {
		return judged;
	}

	return withAccepted(judged, {
		team, version: offset, id, toml: record.toml, by, at,
	}, source.appendedAt);
};

const noteRestatement = (state: ConfigurationState, record: RestatementRecord, source: LogRecord): ConfigurationState => {
	if (getAcceptedVersion(state, record.team) !== record.version) {
		return state;
	}

	return {...state, statedAt: new Map(state.statedAt).set(record.team, source.appendedAt)};
};

type StreamRecord = ConfigurationRecord | RestatementRecord;

const foldParsed = (state: ConfigurationState, record: StreamRecord, source: LogRecord): ConfigurationState =>
	record.kind === 'configuration' ? judgeRecord(state, record, source) : noteRestatement(state, record, source);

const parseRecord = (source: Pick<LogRecord, 'record'>): StreamRecord | undefined => {
	const parsed = configurationStreamRecordSchema.safeParse(source.record);
	return parsed.success ? parsed.data : undefined;
};

type SettleOptions = {
	readonly state: ConfigurationState;
	readonly gap: TrimGap;
	readonly team: string;
	/** Records of the team from here on are judged again. */
	readonly from: number;
};

/** Marks a team as settled and judges again the records of it that were held back. */
export const settleTeam = (options: SettleOptions): ConfigurationState => {
	const {state, gap, team, from} = options;
	let next: ConfigurationState = {
		...state,
		gap: {
			...gap,
			settled: new Set(gap.settled).add(team),
			pending: gap.pending.filter(held => held.team !== team),
		},
	};
	for (const held of gap.pending) {
		const record = parseRecord(held);
		if (held.team === team && held.offset >= from && record !== undefined) {
			next = foldParsed(next, record, held);
		}
	}

	return next;
};

const holdBack = (state: ConfigurationState, gap: TrimGap, held: PendingRecord): ConfigurationState => ({
	...state,
	gap: {...gap, pending: [...gap.pending, held].slice(-mostPendingRecords)},
});

/**
 * A restatement tells what was accepted once its author had read up to
 * `foldedTo`. A reader that starts after the trim adopts it and judges again
 * what it has held back since then. One that knows better keeps what it has, so
 * a late restatement never overtakes a newer version. A restatement by an author
 * who had not read up to the trim says nothing of the records in between.
 */
const foldIntoGap = (state: ConfigurationState, gap: TrimGap, source: LogRecord): ConfigurationState => {
	const record = parseRecord(source);
	if (record === undefined) {
		return state;
	}

	const {team, id, toml, by, at} = record;
	if (gap.settled.has(team)) {
		return foldParsed(state, record, source);
	}

	const held = holdBack(state, gap, {...source, team});
	if (record.kind === 'configuration' || record.foldedTo < gap.earliest) {
		return held;
	}

	const version = record.version as ConfigurationVersion;
	const adopted = version > getAcceptedVersion(held, team)
		? withAccepted(held, {
			team, version, id, toml, by, at,
		}, source.appendedAt)
		: held;
	return settleTeam({
		state: adopted, gap: held.gap!, team, from: record.foldedTo,
	});
};

/** Takes the next record of the stream; a record that was read before changes nothing. */
export const foldConfigurationRecord = (state: ConfigurationState, source: LogRecord): ConfigurationState => {
	if (source.offset < state.foldedTo) {
		return state;
	}

	const moved = {...state, foldedTo: (source.offset + 1) as LogOffset};
	if (moved.gap !== undefined) {
		return foldIntoGap(moved, moved.gap, source);
	}

	const record = parseRecord(source);
	return record === undefined ? moved : foldParsed(moved, record, source);
};

/** Records up to `earliest` are gone. What was accepted stays; later verdicts wait if some were missed. */
export const noteTrim = (state: ConfigurationState, earliest: LogOffset): ConfigurationState => {
	if (earliest <= state.foldedTo) {
		return state;
	}

	return {...state, foldedTo: earliest, gap: {earliest, settled: new Set(), pending: []}};
};

/**
 * The end of the log was reached and nobody could say what was accepted before
 * the trim. A team that was never restated has its first record still in the
 * log, since older versions are restated long before they are trimmed; so the
 * oldest record that is left is taken to have been accepted.
 */
export const settleGap = (state: ConfigurationState): ConfigurationState => {
	let next = state;
	for (const team of new Set(state.gap?.pending.map(held => held.team))) {
		const accepted = getAcceptedVersion(next, team);
		const first = next.gap!.pending.find(held => held.team === team && held.offset > accepted && parseRecord(held)?.kind === 'configuration');
		const record = first && parseRecord(first);
		if (first !== undefined && record?.kind === 'configuration') {
			next = judgeRecord(next, {...record, base: accepted}, first);
		}

		next = settleTeam({
			state: next, gap: next.gap!, team, from: (first?.offset ?? -1) + 1,
		});
	}

	return {...next, gap: undefined};
};
