/** Long polling for reclaim notices: announcements of the cloud API that it will take an instance away. */
import {type Clock, waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {addMilliseconds} from '@shallotpass/common/types.js';
import {type Dispatcher, request} from 'undici';
import * as z from 'zod';

export const noticeSchema = z.object({
	instanceId: z.string().min(1),
	/** When the cloud takes the instance away, in milliseconds since the epoch. */
	leavesAt: z.number(),
});

const noticesSchema = z.object({
	notices: z.array(noticeSchema),
	next: z.int().nonnegative(),
});

export type ReclaimNotice = z.output<typeof noticeSchema>;

type FollowNoticesOptions = {
	readonly baseUrl: string;
	readonly dispatcher: Dispatcher;
	readonly clock: Clock;
	readonly signal: AbortSignal;
	readonly onNotice: (notice: ReclaimNotice) => void;
	readonly onError: (error: unknown) => void;
};

const longPollTimeoutMs = 10_000;
const retryDelayMs = 500;

/** Passes each notice to `onNotice` until the signal is aborted. Retries after errors. */
export const followNotices = async (options: FollowNoticesOptions): Promise<void> => {
	const {baseUrl, dispatcher, clock, signal, onNotice, onError} = options;
	let nextNotice = 0;
	while (!signal.aborted) {
		try {
			const url = new URL('notices', baseUrl.endsWith('/') ? baseUrl : `${baseUrl}/`);
			url.searchParams.set('from', String(nextNotice));
			url.searchParams.set('waitMs', String(longPollTimeoutMs));
			/* eslint-disable no-await-in-loop -- each request continues after the notices of the previous one */
			const response = await request(url, {dispatcher, signal: AbortSignal.any([signal, AbortSignal.timeout(longPollTimeoutMs * 2)])});
			const body = noticesSchema.parse(await response.body.json());
			/* eslint-enable no-await-in-loop */
			nextNotice = body.next;
			for (const notice of body.notices) {
				onNotice(notice);
			}
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			onError(error);
			await waitUntilOrAborted(clock, addMilliseconds(clock.now(), retryDelayMs), signal); // eslint-disable-line no-await-in-loop
		}
	}
};
