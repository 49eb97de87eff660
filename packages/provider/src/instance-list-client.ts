/**
 * HTTP client of the platform's instance list. The list can be out of date. While it cannot be read,
 * the last version stays in use.
 */
import {type Clock, waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {instanceListSchema, type InstanceList} from '@shallotpass/common/instance-list.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {type Dispatcher, request} from 'undici';

type FollowListOptions = {
	readonly baseUrl: string;
	readonly dispatcher: Dispatcher;
	readonly clock: Clock;
	readonly signal: AbortSignal;
	readonly send: (event: InstanceListEvent) => void;
};

export type InstanceListEvent =
	| {readonly kind: 'list'; readonly list: InstanceList}
	| {readonly kind: 'outage'; readonly error: unknown};

const readIntervalMs = 500;
const readTimeoutMs = 3000;

export const readInstanceList = async (baseUrl: string, dispatcher: Dispatcher, signal?: AbortSignal): Promise<InstanceList> => {
	const url = new URL('instances', baseUrl.endsWith('/') ? baseUrl : `${baseUrl}/`);
	const timeoutSignal = AbortSignal.timeout(readTimeoutMs);
	const response = await request(url, {dispatcher, signal: signal === undefined ? timeoutSignal : AbortSignal.any([signal, timeoutSignal])});
	const body: unknown = await response.body.json();
	return instanceListSchema.parse(body);
};

/** Reads the list at a fixed interval until the signal is aborted, and sends each newer version to `send`. */
export const followInstanceList = async ({baseUrl, dispatcher, clock, signal, send}: FollowListOptions): Promise<void> => {
	let latestVersion: number | undefined;
	while (!signal.aborted) {
		try {
			const list = await readInstanceList(baseUrl, dispatcher, signal); // eslint-disable-line no-await-in-loop -- reads are sequential
			// A replica that lags behind can return an older version than the last one read.
			if (latestVersion === undefined || list.version > latestVersion) {
				latestVersion = list.version;
				send({kind: 'list', list});
			}
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			send({kind: 'outage', error});
		}

		await waitUntilOrAborted(clock, addMilliseconds(clock.now(), readIntervalMs), signal); // eslint-disable-line no-await-in-loop
	}
};
