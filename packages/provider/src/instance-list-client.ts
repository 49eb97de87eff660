/** The platform's instance list over HTTP. It lags; the last one read stays in use while it cannot be reached. */
import {type Clock, waitQuietly} from '@shallotpass/common/clock.js';
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

const readEveryMs = 500;
const readTimeoutMs = 3000;

export const readInstanceList = async (baseUrl: string, dispatcher: Dispatcher, signal?: AbortSignal): Promise<InstanceList> => {
	const url = new URL('instances', baseUrl.endsWith('/') ? baseUrl : `${baseUrl}/`);
	const timeout = AbortSignal.timeout(readTimeoutMs);
	const response = await request(url, {dispatcher, signal: signal === undefined ? timeout : AbortSignal.any([signal, timeout])});
	const body: unknown = await response.body.json();
	return instanceListSchema.parse(body);
};

export const followInstanceList = async ({baseUrl, dispatcher, clock, signal, send}: FollowListOptions): Promise<void> => {
	let version: number | undefined;
	while (!signal.aborted) {
		try {
			const list = await readInstanceList(baseUrl, dispatcher, signal); // eslint-disable-line no-await-in-loop -- one reading after the other
			// A list that is served by a lagging copy can be older than the last one.
			if (version === undefined || list.version > version) {
				version = list.version;
				send({kind: 'list', list});
			}
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			send({kind: 'outage', error});
		}

		await waitQuietly(clock, addMilliseconds(clock.now(), readEveryMs), signal); // eslint-disable-line no-await-in-loop
	}
};
