/** Test double of the platform's instance list. Changes can become visible with a delay. */
import {
	instanceListSchema, listedInstanceSchema, type InstanceList, type ListedInstance,
} from '@shallotpass/common/instance-list.js';
import {type z} from 'zod';
import {makeFaultTable, type FaultTable} from './faults.js';
import {answerWithFaults, startStandIn, type StandInServer} from './http-stand-in.js';

export type InstanceListStandIn = StandInServer & {
	readonly faults: FaultTable;
	readonly put: (instance: z.input<typeof listedInstanceSchema>) => void;
	readonly remove: (id: string) => void;
	readonly get: () => InstanceList;
};

type InstanceListOptions = {
	/** Delay until a change becomes visible, in milliseconds. */
	readonly lagMs?: number;
	readonly port?: number;
};

/** Faults can be added for the operation `list`. */
export const startInstanceListStandIn = async ({lagMs = 0, port = 0}: InstanceListOptions = {}): Promise<InstanceListStandIn> => {
	const faults = makeFaultTable();
	const instances = new Map<string, ListedInstance>();
	let version = 0;
	let visible: InstanceList = {version, instances: []};

	const publish = (): void => {
		version++;
		const next = instanceListSchema.parse({version, instances: [...instances.values()]});
		if (lagMs === 0) {
			visible = next;
			return;
		}

		setTimeout(() => {
			visible = next;
		}, lagMs).unref();
	};

	const server = await startStandIn(async (_request, response) => {
		await answerWithFaults(response, faults, 'list', () => ({status: 200, body: visible}));
	}, port);
	return {
		...server,
		faults,
		put(instance) {
			instances.set(instance.id, listedInstanceSchema.parse(instance));
			publish();
		},
		remove(id) {
			instances.delete(id);
			publish();
		},
		get: () => visible,
	};
};
