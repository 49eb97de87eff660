/** What other packages use of the tasks. */
import {type CacheEvent} from '@shallotpass/backends/engine-events.js';
import {type InstanceList} from '@shallotpass/common/instance-list.js';
import {type SpeedSample} from '@shallotpass/core/routing/speed-estimate.js';
import {type BackendView, type LoadReport, type RoutedCall} from '@shallotpass/core/routing/types.js';
import {type ActiveConfigurations} from './active-configurations.js';

/** A call that was sent to a backend server. */
export type CallStart = {
	/** Estimated number of prompt tokens that the engine has to prefill because they are not cached. */
	readonly promptTokens: number;
	/** Whether the call has a latency target. */
	readonly isUrgent: boolean;
};

export type BackendRegistry = {
	/** Adds and removes backend servers to match the active configurations. */
	readonly applyConfigurations: (activeConfigurations: ActiveConfigurations) => void;
	/** Adds and removes backend servers to match the instance list. */
	readonly applyInstanceList: (list: InstanceList) => void;
	/** Applies a notice that the backend server will be removed, for example reclaimed. Its running calls are moved before `leavesAt`. */
	readonly applyLeavingNotice: (id: string, leavesAt: number | undefined) => void;
	/** Applies a load report. Ignores it if a newer one was applied. */
	readonly applyLoadReport: (id: string, report: LoadReport) => void;
	/** Applies cache events reported by an engine. They correct the estimate that is based on this daemon's own calls. */
	readonly applyCacheEvents: (id: string, events: readonly CacheEvent[]) => void;
	/** Removes the prompt prefixes that the engine was known to have cached, for example after a restart. */
	readonly clearCachedPrefixes: (id: string) => void;
	/** Selects a backend server by the routing policy; undefined if none is available. */
	readonly choose: (call: RoutedCall) => BackendView | undefined;
	/** Records that a call was sent to the backend server. Each call of `begin` is followed by one of `end`. */
	readonly begin: (id: string, start?: CallStart) => void;
	/** Records that the engine has prefilled the prompt tokens of a call. */
	readonly recordPromptPrefilled: (id: string, promptTokens: number) => void;
	/** Records that a call on the backend server has ended. */
	readonly end: (id: string, isUrgent?: boolean) => void;
	/** Records a measured speed and the prompt prefix that the engine has cached, and adapts the concurrency limit. */
	readonly recordSpeedSample: (id: string, sample: SpeedSample, prefixHashes: readonly bigint[]) => void;
	/** Sends no new calls to the backend server for a short time. */
	readonly avoid: (id: string) => void;
	readonly list: () => BackendView[];
	readonly getView: (id: string) => BackendView | undefined;
	/** Counts the prompt blocks that the engine is expected to have cached. */
	readonly countCachedBlocks: (id: string, prefixHashes: readonly bigint[]) => number;
	/** Returns a signal that is aborted shortly before the backend server is removed. */
	readonly getLeavingSignal: (id: string) => AbortSignal | undefined;
	/** Whether the backend server is leaving. Also true if it is unknown. */
	readonly isLeaving: (id: string) => boolean;
	/** Counts the backend servers that serve the service and are not leaving. */
	readonly countServing: (serviceId: string) => number;
	/** Returns how many calls of the service this daemon runs concurrently at most: the sum of the limits of the backend servers that are not leaving. */
	readonly countSlots: (serviceId: string) => number;
};
