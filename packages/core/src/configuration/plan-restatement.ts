/** Keeps the accepted configuration from being forgotten when the log trims its oldest records. */
import {type RestatementRecord} from '@shallotpass/common/log-records.js';
import {type ConfigurationState} from './types.js';

type RestatementOptions = {
	readonly state: ConfigurationState;
	readonly now: number;
	/** Age at which a version is stated again, in milliseconds. */
	readonly ageMs: number;
	/** Place of this daemon among the members, from 0; later ones hold back longer. */
	readonly place: number;
};

/** How much longer each next member waits, so that one restates and the others see it. */
const holdBackMs = 30_000;

/** The restatements that this daemon should append now. */
export const planRestatements = (options: RestatementOptions): RestatementRecord[] => {
	const {state, now, ageMs, place} = options;
	if (state.gap !== undefined) {
		return [];
	}

	return [...state.accepted.values()]
		.filter(accepted => now - (state.statedAt.get(accepted.team) ?? now) >= ageMs + (place * holdBackMs))
		.map(accepted => ({
			kind: 'restatement',
			...accepted,
			version: accepted.version,
			foldedTo: state.foldedTo,
		}));
};
