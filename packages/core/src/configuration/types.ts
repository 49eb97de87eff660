import {type ConfigurationVersion, type LogOffset} from '@shallotpass/common/types.js';

/** A version of a team's configuration that was accepted. */
export type AcceptedConfiguration = {
	readonly team: string;
	/** Offset of the record that first contained it. Restatements keep this version. */
	readonly version: ConfigurationVersion;
	/** Unique id of the apply request, which identifies the record after a lost reply. */
	readonly id: string;
	readonly toml: string;
	readonly by: string;
	readonly at: number;
};

/** Result of one configuration record, shown to operators in the history. */
export type HistoryEntry = {
	readonly id: string;
	readonly team: string;
	readonly offset: ConfigurationVersion;
	readonly base: ConfigurationVersion;
	readonly by: string;
	readonly at: number;
	readonly verdict: 'accepted' | 'conflict';
	/** Version that was in force when the record was applied. */
	readonly current: ConfigurationVersion;
};

/** A record that can't be evaluated yet, because the decision depends on records that the log has trimmed. */
export type PendingRecord = {
	readonly team: string;
	readonly offset: LogOffset;
	readonly record: unknown;
	readonly appendedAt: number;
};

/** State of a reader that missed trimmed records. Records of teams that aren't settled are kept until they can be evaluated. */
export type TrimGap = {
	/** Oldest offset that could be read. */
	readonly earliest: LogOffset;
	/** Teams whose accepted version is known since the trim, from a restatement or from a peer. */
	readonly settled: ReadonlySet<string>;
	readonly pending: readonly PendingRecord[];
};

/** State that results from applying the records of the configuration stream. */
export type ConfigurationState = {
	/** Offset of the next record to read. */
	readonly foldedTo: LogOffset;
	/** Accepted configuration by team. */
	readonly accepted: ReadonlyMap<string, AcceptedConfiguration>;
	readonly history: readonly HistoryEntry[];
	/** Set while records that have been read may be based on trimmed ones. */
	readonly gap?: TrimGap;
	/** When the accepted version of each team was last written to the log, by the log's clock. */
	readonly lastWrittenAt: ReadonlyMap<string, number>;
};

/** State that one daemon sends to another: everything that was accepted before `foldedTo`. */
export type ConfigurationOffer = {
	readonly accepted: readonly AcceptedConfiguration[];
	readonly foldedTo: LogOffset;
	/** Recent decisions, for a daemon that has not read the log itself. */
	readonly history: readonly HistoryEntry[];
	/** Whether every team is included. False while the sender has a gap itself. */
	readonly isComplete: boolean;
};
