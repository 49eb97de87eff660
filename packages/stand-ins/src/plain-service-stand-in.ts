/** Test double of an application service, such as one for reservations. It records each call that it executes. */
import {makeFaultTable, type FaultTable} from './faults.js';
import {
	readBody, sendJson, startStandIn, type StandInServer,
} from './http-stand-in.js';

export type Execution = {
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly requestId: string;
	readonly fencing: number | undefined;
	readonly idempotencyKey: string | undefined;
	/** Start of the execution, in milliseconds since the epoch. */
	readonly at: number;
};

export type PlainServiceStandIn = StandInServer & {
	readonly faults: FaultTable;
	/** Executed calls, in order. */
	readonly executions: readonly Execution[];
	/** Counts the calls received, including those that were not executed. */
	readonly countReceived: () => number;
};

type PlainServiceOptions = {
	/** Whether to refuse calls whose fencing number is lower than that of an earlier call with the same idempotency key. */
	readonly checksFencing?: boolean;
	readonly port?: number;
	readonly id?: string;
};

const getHeader = (value: string | string[] | undefined): string | undefined => Array.isArray(value) ? value[0] : value;

/** Faults can be added for the operation `call`. */
export const startPlainServiceStandIn = async (options: PlainServiceOptions = {}): Promise<PlainServiceStandIn> => {
	const faults = makeFaultTable();
	const executions: Execution[] = [];
	const highestFencing = new Map<string, number>();
	let receivedCalls = 0;

	/** Records the fencing number and returns whether it is lower than an earlier one for the same key. */
	const detectStaleFencing = (execution: Execution): boolean => {
		if (options.checksFencing !== true || execution.fencing === undefined || execution.idempotencyKey === undefined) {
			return false;
		}

		const highest = highestFencing.get(execution.idempotencyKey) ?? -1;
		highestFencing.set(execution.idempotencyKey, Math.max(highest, execution.fencing));
		return execution.fencing < highest;
	};

	const server = await startStandIn(async (request, response) => {
		receivedCalls++;
		const body = await readBody(request);
		const fencing = getHeader(request.headers['x-fencing']);
		const execution: Execution = {
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			body: new TextDecoder().decode(body),
			requestId: getHeader(request.headers['x-request-id']) ?? '',
			fencing: fencing === undefined ? undefined : Number(fencing),
			idempotencyKey: getHeader(request.headers['idempotency-key']),
			at: Date.now(),
		};
		const fault = faults.take('call');
		if (fault?.kind === 'refuse') {
			sendJson(response, {status: 503, headers: {'x-request-id': execution.requestId}});
			return;
		}

		if (detectStaleFencing(execution)) {
			sendJson(response, {status: 409, body: {error: 'an older fencing number'}, headers: {'x-request-id': execution.requestId}});
			return;
		}

		executions.push(execution);
		const reply = {status: 200, body: {id: options.id, number: executions.length, echo: execution.body}, headers: {'x-request-id': execution.requestId}};
		switch (fault?.kind) {
			case 'silent': {
				return;
			}

			case 'lose_reply':
			case 'cut': {
				response.destroy();
				return;
			}

			case 'mismatch': {
				sendJson(response, {...reply, headers: {'x-request-id': 'of-another-request'}});
				return;
			}

			case 'break': {
				response.socket?.end('HTTP/1.1 nonsense\r\n\r\n');
				return;
			}

			case 'pause':
			case 'delay': {
				await new Promise(resolve => {
					setTimeout(resolve, fault.delayMs ?? 100);
				});
				sendJson(response, reply);
				return;
			}

			case undefined: {
				sendJson(response, reply);
			}
		}
	}, options.port);
	return {
		...server,
		faults,
		executions,
		countReceived: () => receivedCalls,
	};
};
