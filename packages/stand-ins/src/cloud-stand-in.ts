/** Test double of the cloud API: lists, starts and ends instances, and sends reclaim notices. */
import * as z from 'zod';
import {makeFaultTable, type FaultTable} from './faults.js';
import {
	answerWithFaults,
	readJson,
	startStandIn,
	type JsonReply,
	type StandInServer,
} from './http-stand-in.js';

const startSchema = z.object({
	token: z.string().min(1),
	availabilityZone: z.string(),
	machineClass: z.string(),
	reclaimable: z.boolean(),
});

export type StartedInstance = z.output<typeof startSchema> & {
	readonly id: string;
	readonly startedAt: number;
	readonly leavesAt?: number;
};

export type CloudStandIn = StandInServer & {
	readonly faults: FaultTable;
	/** Announces that an instance will be reclaimed at `leavesAt`. */
	readonly announceReclaim: (instanceId: string, leavesAt: number) => void;
	readonly listStarted: () => StartedInstance[];
	/** Counts all instances started so far, including those that have ended. */
	readonly countAllStarted: () => number;
};

const pollIntervalMs = 20;
const maxWaitMs = 30_000;

/** Faults can be added for the operations `start`, `end`, `list`, `offers` and `notices`. */
export const startCloudStandIn = async (port = 0): Promise<CloudStandIn> => {
	const faults = makeFaultTable();
	const notices: Array<{instanceId: string; leavesAt: number}> = [];
	const runningByToken = new Map<string, StartedInstance>();
	/** Includes ended instances, because a token starts at most one instance. */
	const allByToken = new Map<string, StartedInstance>();

	const start = (body: unknown): JsonReply => {
		const parsed = startSchema.safeParse(body);
		if (!parsed.success) {
			return {status: 400, body: {error: 'token, availabilityZone, machineClass and reclaimable are needed'}};
		}

		const existing = allByToken.get(parsed.data.token);
		if (existing !== undefined) {
			return {status: 200, body: {...existing, endedAt: runningByToken.has(existing.token) ? undefined : existing.startedAt}};
		}

		const instance = {...parsed.data, id: `started-${allByToken.size + 1}`, startedAt: Date.now()};
		runningByToken.set(instance.token, instance);
		allByToken.set(instance.token, instance);
		return {status: 201, body: instance};
	};

	const end = (id: string): JsonReply => {
		for (const [token, instance] of runningByToken) {
			if (instance.id === id) {
				runningByToken.delete(token);
				return {status: 200};
			}
		}

		return {status: 404};
	};

	const readNotices = async (url: URL): Promise<JsonReply> => {
		const from = Number(url.searchParams.get('from') ?? 0);
		const waitUntil = Date.now() + Math.min(maxWaitMs, Number(url.searchParams.get('waitMs') ?? 0));
		while (notices.length <= from && Date.now() < waitUntil) {
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- polls
				setTimeout(resolve, pollIntervalMs);
			});
		}

		return {status: 200, body: {notices: notices.slice(from), next: Math.max(from, notices.length)}};
	};

	const server = await startStandIn(async (request, response) => {
		const url = new URL(request.url ?? '/', 'http://cloud');
		if (url.pathname === '/notices') {
			await answerWithFaults(response, faults, 'notices', async () => readNotices(url));
			return;
		}

		if (request.method === 'POST' && url.pathname === '/instances') {
			const body = await readJson(request);
			await answerWithFaults(response, faults, 'start', () => start(body));
			return;
		}

		if (request.method === 'DELETE' && url.pathname.startsWith('/instances/')) {
			await answerWithFaults(response, faults, 'end', () => end(decodeURIComponent(url.pathname.slice('/instances/'.length))));
			return;
		}

		if (url.pathname === '/instances') {
			await answerWithFaults(response, faults, 'list', () => ({
				status: 200,
				body: {instances: [...runningByToken.values()].map(instance => ({...instance, leavesAt: notices.find(notice => notice.instanceId === instance.id)?.leavesAt}))},
			}));
			return;
		}

		await answerWithFaults(response, faults, 'offers', () => ({status: url.pathname === '/offers' ? 200 : 404, body: {offers: []}}));
	}, port);
	return {
		...server,
		faults,
		announceReclaim(instanceId, leavesAt) {
			notices.push({instanceId, leavesAt});
		},
		listStarted: () => [...runningByToken.values()],
		countAllStarted: () => allByToken.size,
	};
};
