/** Appends the accepted configuration again as a restatement before the log trims the record that holds it. */
import {type RestatementRecord} from '@shallotpass/common/log-records.js';
import {type ConfigurationState} from './types.js';

type RestatementOptions = {
	readonly state: ConfigurationState;
	readonly now: number;
	/** Age at which a version is restated, in milliseconds. */
	readonly ageMs: number;
	/** Index of this daemon among the members, from 0. Daemons with a higher index wait longer. */
	readonly memberIndex: number;
};

/** Additional wait per member index, so that one member writes the restatement and the others see it in time. */
const waitPerMemberMs = 30_000;

/** Returns the restatements that this daemon should append now. */
export const planRestatements = (options: RestatementOptions): RestatementRecord[] => {
	const {state, now, ageMs, memberIndex} = options;
	if (state.gap !== undefined) {
		return [];
	}

	return [...state.accepted.values()]
		.filter(accepted => now - (state.lastWrittenAt.get(accepted.team) ?? now) >= ageMs + (memberIndex * waitPerMemberMs))
		.map(accepted => ({
			kind: 'restatement',
			...accepted,
			version: accepted.version,
			foldedTo: state.foldedTo,
		}));
};
