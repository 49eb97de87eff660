import {type Clock} from '@shallotpass/common/clock.js';
import {type Settings} from '@shallotpass/common/settings-schema.js';
import {type Logger} from '@shallotpass/telemetry/logger.js';
import {type Metrics} from '@shallotpass/telemetry/metrics.js';

/** Dependencies shared by all tasks of one daemon. Nothing is global, so several daemons can run in one process. */
export type Environment = {
	readonly settings: Settings;
	readonly clock: Clock;
	/** Returns a uniformly distributed number in [0, 1). */
	readonly random: () => number;
	readonly metrics: Metrics;
	readonly makeLogger: (task: string) => Logger;
	/** Aborted when the daemon stops. */
	readonly signal: AbortSignal;
};
