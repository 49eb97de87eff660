import {type ConfigurationVersion, type LogOffset} from '@shallotpass/common/types.js';

/** A configuration that won its place in the log. */
export type AcceptedConfiguration = {
	readonly team: string;
	/** Offset of the record that first carried it; restatements keep it. */
	readonly version: ConfigurationVersion;
	/** Unique id of the apply, which finds it again after a lost reply. */
	readonly id: string;
	readonly toml: string;
	readonly by: string;
	readonly at: number;
};

/** What became of one record; the history that operators see. */
export type HistoryEntry = {
	readonly id: string;
	readonly team: string;
	readonly offset: ConfigurationVersion;
	readonly base: ConfigurationVersion;
	readonly by: string;
	readonly at: number;
	readonly verdict: 'accepted' | 'conflict';
	/** Version that was accepted when the record was read. */
	readonly current: ConfigurationVersion;
};

/** A record whose verdict needs the records that the log has trimmed. */
export type PendingRecord = {
	readonly team: string;
	readonly offset: LogOffset;
	readonly record: unknown;
	readonly appendedAt: number;
};

/** Left by a start on a trimmed log: verdicts of teams that are not settled wait. */
export type TrimGap = {
	/** Oldest offset that could be read. */
	readonly earliest: LogOffset;
	/** Teams whose accepted version a restatement or a peer has told since. */
	readonly settled: ReadonlySet<string>;
	readonly pending: readonly PendingRecord[];
};

/** Fold of the configuration stream. */
export type ConfigurationState = {
	/** Offset of the next record to read. */
	readonly foldedTo: LogOffset;
	readonly accepted: ReadonlyMap<string, AcceptedConfiguration>;
	readonly history: readonly HistoryEntry[];
	/** Present while the first records may be based on ones that are gone. */
	readonly gap?: TrimGap;
	/** When the accepted version of each team last stood in the log, by the log's clock. */
	readonly statedAt: ReadonlyMap<string, number>;
};

/** What one daemon tells another: everything accepted up to `foldedTo`. */
export type ConfigurationOffer = {
	readonly accepted: readonly AcceptedConfiguration[];
	readonly foldedTo: LogOffset;
	/** Verdicts of late, for a daemon that has read nothing itself. */
	readonly history: readonly HistoryEntry[];
	/** Whether every team is told; not so while the author has a gap of its own. */
	readonly isComplete: boolean;
};
