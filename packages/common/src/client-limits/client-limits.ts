/** How much clients may make a process hold, all of them together and by listener. */

export const listenerNames = ['callers', 'ready', 'metrics', 'peers', 'operators'] as const;

export type ListenerName = (typeof listenerNames)[number];

export type ClientLimits = {
	/** Bytes that all clients together may make the process hold: bodies, input, answers, and the objects that stand for them. */
	readonly maxBytes: number;
	/** Bytes of that which lie in the JavaScript heap. */
	readonly maxObjectBytes: number;
	/** Descriptors that clients and what is opened for them may take, all together. */
	readonly maxDescriptors: number;
	/** Most open connections of each listener. */
	readonly maxConnections: Readonly<Record<ListenerName, number>>;
};

/** What the limits follow from. */
export type ClientResources = {
	/** Memory of the machine, in MB. The usual one if it is not known. */
	readonly memoryMb: number | undefined;
	/** Limit of the JavaScript heap, in bytes. */
	readonly heapBytes: number;
	/** Descriptors that the process may have open. */
	readonly maxOpenFiles: number;
};

const bytesPerMb = 1_000_000;

/** Share of the machine's memory that bodies may take at most. */
const bodyShare = 0.5;

/** Share that they may take in any case. */
const minBodyShare = 0.15;

/** Memory of the program itself, and of what was released and is not collected yet. */
const programMb = 150;

/** What connections, heads, input and answers may take beyond the bound of bodies, as a part of that. */
const beyondBodiesShare = 0.25;

/** Share of the JavaScript heap. */
const heapShare = 0.4;

/** Shares of the descriptors. What is left is for connections to backend servers, the store and peers. */
const callersShare = 0.7;
const peersShare = 0.1;

/** Descriptors that are kept for the store, peers and files: a share, and those that any process has. */
const ownShare = 0.1;
const processDescriptors = 30;

/** The load balancer needs one connection, and those that scrape metrics a few. */
const maxReadyConnections = 32;
const maxMetricsConnections = 16;
const maxOperatorConnections = 64;

/** Memory of an instance whose settings don't state it. */
export const usualMemoryMb = 256;

/** Computes how many bytes of bodies a process may hold on a machine of that size. */
export const computeMaxBodyBytes = (memoryMb = usualMemoryMb): number => {
	const mostMb = memoryMb * bodyShare;
	// Smaller than the program is no machine.
	const megabytes = memoryMb <= programMb ? mostMb : Math.max(memoryMb * minBodyShare, Math.min(mostMb, memoryMb - programMb));
	return megabytes * bytesPerMb;
};

export const computeClientLimits = ({memoryMb, heapBytes, maxOpenFiles}: ClientResources): ClientLimits => ({
	maxBytes: computeMaxBodyBytes(memoryMb) * (1 + beyondBodiesShare),
	maxObjectBytes: heapBytes * heapShare,
	maxDescriptors: Math.floor(maxOpenFiles * (1 - ownShare)) - processDescriptors,
	maxConnections: {
		callers: Math.max(1, Math.floor(maxOpenFiles * callersShare)),
		peers: Math.max(1, Math.floor(maxOpenFiles * peersShare)),
		ready: maxReadyConnections,
		metrics: maxMetricsConnections,
		operators: maxOperatorConnections,
	},
});
