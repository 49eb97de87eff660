/** Backend servers of an old and a new version for the simulation of roll-outs: their speeds, and how a bad version responds. */

export type Badness = {
	/** When the version is bad: always, from a moment on, with more load than is usual, on one route, or more and more. */
	readonly kind: 'start' | 'late' | 'load' | 'route' | 'gradual';
	/** Share of its responses that fail. */
	readonly failures: number;
	/** Share of its responses that are slow, and their slowdown. */
	readonly slow: number;
	readonly slowdown: number;
	/** For `late` and `gradual`: when it begins, in milliseconds after the order. */
	readonly from: number;
};

export type SimulatedServer = {
	readonly id: string;
	readonly version: 'old' | 'new';
	readonly speed: number;
	/** From when on it takes calls. Crashes and reclaims postpone it. */
	readyAt: number;
	/** Increases with each crash, which breaks the running calls. */
	incarnation: number;
	running: number;
};

export type SimulatedRoute = {
	readonly name: string;
	readonly perSecond: number;
	/** Median prompt, in tokens, and time from the first event to the end at the mean speed. */
	readonly tokens: number;
	readonly streamMs: number;
};

/** Speeds of engines, and prefill at the mean speed. */
const speeds = [0.7, 0.7, 1.7];
const tokensPerMs = 80;
const baseMs = 8;

/** A machine is slow for a slot of time with this probability and by this factor. */
const noiseShare = 0.15;
const noiseFactor = 2.5;

/** Calls at one server from which a version is bad that is bad under load. */
const loadedCalls = 3;

/** Time in which a gradually worsening version becomes fully bad. */
const gradualMs = 15_000;

/** Every third server of a version is a fast one, in random order. */
const drawSpeeds = (count: number, random: () => number): number[] =>
	Array.from({length: count}, (_value, index) => ({speed: speeds[index % speeds.length]!, order: random()}))
		.toSorted((left, right) => left.order - right.order)
		.map(({speed}) => speed);

export const makeServers = (count: number, random: () => number): SimulatedServer[] => (['old', 'new'] as const).flatMap(version =>
	drawSpeeds(count, random).map((speed, index) => ({
		id: `${version}-${index}`,
		version,
		speed,
		readyAt: version === 'old' ? 0 : 4000 + (random() * 4000),
		incarnation: 0,
		running: 0,
	})));

const drawNormal = (random: () => number): number => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** How far the version's badness has come, from 0 to 1. */
const getDegree = ({kind, from}: Badness, {running}: SimulatedServer, route: SimulatedRoute, now: number): number => {
	switch (kind) {
		case 'start': {
			return 1;
		}

		case 'late': {
			return now >= from ? 1 : 0;
		}

		case 'load': {
			return running >= loadedCalls ? 1 : 0;
		}

		case 'route': {
			return route.name === 'short' ? 1 : 0;
		}

		case 'gradual': {
			return Math.min(1, Math.max(0, (now - from) / gradualMs));
		}
	}
};

export type SimulatedResponse = {
	readonly promptTokens: number;
	readonly firstEventMs: number;
	readonly endMs: number;
	readonly fails: boolean;
	/** Whether the version is the cause that it fails or is slow. */
	readonly isBad: boolean;
};

export type ResponseDraw = {
	readonly badness: Badness | undefined;
	readonly now: number;
	readonly random: () => number;
};

/** Draws the response of a server to a call that has just been sent there. */
export const drawResponse = (server: SimulatedServer, route: SimulatedRoute, {badness, now, random}: ResponseDraw): SimulatedResponse => {
	const promptTokens = Math.min(54_600, route.tokens * Math.exp(0.8 * drawNormal(random)));
	const degree = badness === undefined || server.version === 'old' ? 0 : getDegree(badness, server, route, now);
	const fails = random() < (badness?.failures ?? 0) * degree;
	const isSlow = random() < (badness?.slow ?? 0) * degree;
	const noise = random() < noiseShare ? noiseFactor : 1;
	const factor = noise * (isSlow ? badness!.slowdown : 1) / server.speed;
	// Calls that run there delay the first event.
	const firstEventMs = (baseMs + (promptTokens / tokensPerMs)) * factor * (1 + (0.1 * server.running * (0.5 + random())));
	return {
		promptTokens, firstEventMs, endMs: firstEventMs + (route.streamMs * factor), fails, isBad: fails || isSlow,
	};
};
