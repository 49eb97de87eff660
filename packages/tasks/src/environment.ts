import {type Clock} from '@shallotpass/common/clock.js';
import {type Settings} from '@shallotpass/common/settings-schema.js';
import {type Logger} from '@shallotpass/telemetry/logger.js';
import {type Metrics} from '@shallotpass/telemetry/metrics.js';

/** What every task of a daemon is given: nothing of it is global, so that several daemons fit in one process. */
export type Environment = {
	readonly settings: Settings;
	readonly clock: Clock;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	readonly metrics: Metrics;
	readonly makeLogger: (task: string) => Logger;
	/** Aborted when the daemon stops. */
	readonly signal: AbortSignal;
};
