/** In-memory cloud API for testing the fleet scaler on a clock that the caller controls. Starts take time, and capacity shortages, outages and lost replies can be injected. */
import {type CloudInstance, type CloudService} from '@shallotpass/common/cloud-service.js';
import {makeOfferKey} from '@shallotpass/core/fleet/types.js';

export type MemoryInstance = CloudInstance & {
	/** Time from which the instance serves calls. */
	readonly readyAt: number;
	endedAt: number | undefined;
};

/** Faults of the API: all requests fail, starts take effect but their replies are lost, or listings hold no instances. */
export type CloudFault = 'down' | 'lose_start_replies' | 'empty_list';

export type MemoryCloud = CloudService & {
	/** Faults that are active now. */
	readonly faults: Set<CloudFault>;
	/** Keys of the offers that have no capacity now. Starts of them are refused. */
	readonly soldOut: Set<string>;
	/** All instances that were ever started. */
	readonly instances: readonly MemoryInstance[];
	readonly listRunning: () => MemoryInstance[];
	/** Announces that the matching running instances will end, and returns them. They run until `terminate` or `end` is called. */
	readonly announceTermination: (isAffected: (instance: MemoryInstance) => boolean) => MemoryInstance[];
	/** Ends the instances at once. */
	readonly terminate: (instances: readonly MemoryInstance[]) => void;
	/** Counts the start requests, including those that failed. */
	readonly countStartCalls: () => number;
};

type MemoryCloudOptions = {
	readonly now: () => number;
	/** Time that an instance takes from its start until it serves calls. */
	readonly startMs: number;
};

export const makeMemoryCloud = ({now, startMs}: MemoryCloudOptions): MemoryCloud => {
	const faults = new Set<CloudFault>();
	const soldOut = new Set<string>();
	const instances: Array<MemoryInstance & {isLeaving: boolean}> = [];
	let startCalls = 0;

	const listRunning = (): MemoryInstance[] => instances.filter(instance => instance.endedAt === undefined);
	const failWhenDown = (): void => {
		if (faults.has('down')) {
			throw new Error('the cloud API is unavailable');
		}
	};

	return {
		faults,
		soldOut,
		instances,
		listRunning,
		announceTermination(isAffected) {
			const leaving = instances.filter(instance => instance.endedAt === undefined && isAffected(instance));
			for (const instance of leaving) {
				instance.isLeaving = true;
			}

			return leaving;
		},
		terminate(terminated) {
			for (const instance of terminated) {
				instance.endedAt ??= now();
			}
		},
		countStartCalls: () => startCalls,
		async start({token, availabilityZone, machineClass, isReclaimable}) {
			startCalls++;
			failWhenDown();
			const offer = {availabilityZone, machineClass, isReclaimable};
			const existing = instances.find(instance => instance.token === token);
			if (existing?.endedAt !== undefined) {
				return 'ended';
			}

			if (existing === undefined) {
				if (soldOut.has(makeOfferKey(offer))) {
					return 'refused';
				}

				instances.push({
					...offer, id: `started-${instances.length + 1}`, token, startedAt: now(), readyAt: now() + startMs, endedAt: undefined, isLeaving: false,
				});
			}

			if (faults.has('lose_start_replies')) {
				throw new Error('the reply to the start request was lost');
			}

			return 'started';
		},
		async end(id) {
			failWhenDown();
			const instance = instances.find(candidate => candidate.id === id);
			if (instance !== undefined) {
				instance.endedAt ??= now();
			}
		},
		async list() {
			failWhenDown();
			return faults.has('empty_list') ? [] : listRunning();
		},
	};
};
