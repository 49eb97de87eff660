/** HTTP client of the cloud API: starts, ends and lists instances. */
import {type CloudService} from '@shallotpass/common/cloud-service.js';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type Dispatcher, request} from 'undici';
import * as z from 'zod';

const listReplySchema = z.object({
	instances: z.array(z.object({
		id: z.string().min(1),
		token: z.string(),
		availabilityZone: z.string(),
		machineClass: z.string(),
		reclaimable: z.boolean(),
		startedAt: z.number(),
		leavesAt: z.number().optional(),
	})),
});

const startReplySchema = z.object({id: z.string().min(1), endedAt: z.number().optional()});

type HttpCloudOptions = {
	readonly baseUrl: string;
	readonly dispatcher: Dispatcher;
};

const callTimeoutMs = 5000;

/** The cloud has no capacity for such an instance at the moment. An immediate retry would get the same response. */
const refusedStatuses: ReadonlySet<number> = new Set([409, 429, 503]);

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

export const makeHttpCloud = ({baseUrl, dispatcher}: HttpCloudOptions): CloudService => {
	const baseWithSlash = baseUrl.endsWith('/') ? baseUrl : `${baseUrl}/`;

	const sendRequest = async (method: Dispatcher.HttpMethod, path: string, options: {readonly body?: unknown; readonly signal: AbortSignal | undefined}) => {
		const timeoutSignal = AbortSignal.timeout(callTimeoutMs);
		const response = await request(new URL(path, baseWithSlash), {
			method,
			dispatcher,
			headers: {'content-type': 'application/json'},
			body: options.body === undefined ? undefined : JSON.stringify(options.body),
			signal: options.signal === undefined ? timeoutSignal : AbortSignal.any([options.signal, timeoutSignal]),
		});
		return {status: response.statusCode, text: await response.body.text()};
	};

	const makeStatusError = (operation: string, status: number): ServingError =>
		new ServingError(`the cloud API responded with status ${status} to ${operation}`, {kind: 'platform_unavailable'});

	return {
		async start({token, availabilityZone, machineClass, isReclaimable, signal}) {
			const {status, text} = await sendRequest('POST', 'instances', {
				body: {
					token, availabilityZone, machineClass, reclaimable: isReclaimable,
				}, signal,
			});
			if (isSuccess(status)) {
				return startReplySchema.parse(JSON.parse(text)).endedAt === undefined ? 'started' : 'ended';
			}

			if (refusedStatuses.has(status)) {
				return 'refused';
			}

			throw makeStatusError('a start request', status);
		},
		async end(id, signal) {
			const {status} = await sendRequest('DELETE', `instances/${encodeURIComponent(id)}`, {signal});
			if (!isSuccess(status) && status !== 404) {
				throw makeStatusError('an end request', status);
			}
		},
		async list(signal) {
			const {status, text} = await sendRequest('GET', 'instances', {signal});
			if (!isSuccess(status)) {
				throw makeStatusError('a list request', status);
			}

			return listReplySchema.parse(JSON.parse(text)).instances.map(({reclaimable, leavesAt, ...instance}) => ({
				...instance, isReclaimable: reclaimable, isLeaving: leavesAt !== undefined,
			}));
		},
	};
};
