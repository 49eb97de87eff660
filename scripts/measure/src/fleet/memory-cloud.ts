/** The cloud in memory, for fleet duty on a clock that the caller moves: starts take time, kinds run out, replies get lost. */
import {type CloudInstance, type CloudService} from '@shallotpass/common/cloud-service.js';
import {makeOfferKey} from '@shallotpass/core/fleet/types.js';

export type MemoryInstance = CloudInstance & {
	/** When it serves. */
	readonly servesAt: number;
	endedAt: number | undefined;
};

export type CloudFault = 'down' | 'lose_start_replies';

export type MemoryCloud = CloudService & {
	readonly faults: Set<CloudFault>;
	/** Kinds of which there is none left now. */
	readonly soldOut: Set<string>;
	/** All that were ever started. */
	readonly instances: readonly MemoryInstance[];
	readonly listRunning: () => MemoryInstance[];
	readonly announce: (pick: (instance: MemoryInstance) => boolean) => MemoryInstance[];
	readonly takeAway: (instances: readonly MemoryInstance[]) => void;
	readonly countStartCalls: () => number;
};

type MemoryCloudOptions = {
	readonly now: () => number;
	readonly startMs: number;
};

export const makeMemoryCloud = ({now, startMs}: MemoryCloudOptions): MemoryCloud => {
	const faults = new Set<CloudFault>();
	const soldOut = new Set<string>();
	const instances: Array<MemoryInstance & {isLeaving: boolean}> = [];
	let startCalls = 0;

	const listRunning = (): MemoryInstance[] => instances.filter(instance => instance.endedAt === undefined);
	const refuseWhenDown = (): void => {
		if (faults.has('down')) {
			throw new Error('the cloud does not answer');
		}
	};

	return {
		faults,
		soldOut,
		instances,
		listRunning,
		announce(pick) {
			const leaving = instances.filter(instance => instance.endedAt === undefined && pick(instance));
			for (const instance of leaving) {
				instance.isLeaving = true;
			}

			return leaving;
		},
		takeAway(gone) {
			for (const instance of gone) {
				instance.endedAt ??= now();
			}
		},
		countStartCalls: () => startCalls,
		async start({token, availabilityZone, machineClass, isReclaimable}) {
			startCalls++;
			refuseWhenDown();
			const offer = {availabilityZone, machineClass, isReclaimable};
			const known = instances.find(instance => instance.token === token);
			if (known?.endedAt !== undefined) {
				return 'ended';
			}

			if (known === undefined) {
				if (soldOut.has(makeOfferKey(offer))) {
					return 'refused';
				}

				instances.push({
					...offer, id: `started-${instances.length + 1}`, token, startedAt: now(), servesAt: now() + startMs, endedAt: undefined, isLeaving: false,
				});
			}

			if (faults.has('lose_start_replies')) {
				throw new Error('the reply was lost');
			}

			return 'started';
		},
		async end(id) {
			refuseWhenDown();
			const instance = instances.find(candidate => candidate.id === id);
			if (instance !== undefined) {
				instance.endedAt ??= now();
			}
		},
		async list() {
			refuseWhenDown();
			return listRunning();
		},
	};
};
