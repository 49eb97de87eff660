/** The cloud API over HTTP: offers, starts by token, ends, and reclaim notices. */
import {z} from 'zod';
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

export type StartedInstance = z.output<typeof startSchema> & {readonly id: string};

export type CloudStandIn = StandInServer & {
	readonly faults: FaultTable;
	/** Gives notice that an instance is taken away at `leavesAt`. */
	readonly giveNotice: (instanceId: string, leavesAt: number) => void;
	readonly listStarted: () => StartedInstance[];
};

const pollEveryMs = 20;
const longestWaitMs = 30_000;

/** Operations for faults: `start`, `end`, `offers`, `notices`. */
export const startCloudStandIn = async (port = 0): Promise<CloudStandIn> => {
	const faults = makeFaultTable();
	const notices: Array<{instanceId: string; leavesAt: number}> = [];
	const started = new Map<string, StartedInstance>();

	const start = (body: unknown): JsonReply => {
		const parsed = startSchema.safeParse(body);
		if (!parsed.success) {
			return {status: 400, body: {error: 'token, availabilityZone, machineClass and reclaimable are needed'}};
		}

		const known = started.get(parsed.data.token);
		const instance = known ?? {...parsed.data, id: `started-${started.size + 1}`};
		started.set(parsed.data.token, instance);
		return {status: known === undefined ? 201 : 200, body: instance};
	};

	const end = (id: string): JsonReply => {
		for (const [token, instance] of started) {
			if (instance.id === id) {
				started.delete(token);
				return {status: 200};
			}
		}

		return {status: 404};
	};

	const readNotices = async (url: URL): Promise<JsonReply> => {
		const from = Number(url.searchParams.get('from') ?? 0);
		const waitUntil = Date.now() + Math.min(longestWaitMs, Number(url.searchParams.get('waitMs') ?? 0));
		while (notices.length <= from && Date.now() < waitUntil) {
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- a poll of this process's own state
				setTimeout(resolve, pollEveryMs);
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

		await answerWithFaults(response, faults, 'offers', () => ({status: url.pathname === '/offers' ? 200 : 404, body: {offers: []}}));
	}, port);
	return {
		...server,
		faults,
		giveNotice(instanceId, leavesAt) {
			notices.push({instanceId, leavesAt});
		},
		listStarted: () => [...started.values()],
	};
};
