/** Schema of a daemon's settings file. Keys are camelCase here and snake_case in the file. */
import * as z from 'zod';

const listenAddress = z.string().regex(/^(?:\[[\da-f:]+\]|[\d.]+):\d{1,5}$/v, 'an IP address and a port such as 127.0.0.1:8080');
const url = z.url({protocol: /^https?$/v, error: 'a URL such as http://127.0.0.1:7000'});

const adminKey = z.strictObject({
	name: z.string().min(1).describe('Owner of the key, as shown in the history'),
	sha256: z.string().regex(/^[\da-f]{64}$/v, '64 hexadecimal digits, the SHA-256 of the key').describe('Digest of the key'),
	role: z.enum(['viewer', 'operator', 'administrator']).describe('Viewers can read, operators can also apply configurations and drain, administrators can access every team'),
	teams: z.array(z.string()).default(['default']).describe('Teams that the key may read and change'),
});

const limits = z.strictObject({
	maxConnections: z.int().positive().default(5000).describe('Maximum number of open connections on the listener for callers'),
	maxHeldBytes: z.int().min(1_048_576).default(268_435_456).describe('Maximum memory for what clients make the daemon hold: bodies, input, answers that they do not take, and the objects for them, in bytes'),
	maxAdminConnections: z.int().positive().default(64).describe('Maximum number of open connections on the listener for operators; beyond it the one that has done nothing for longest is closed'),
	maxHeaderBytes: z.int().min(1024).default(16_384).describe('Maximum size of the header fields of a request, in bytes'),
	maxBodyBytes: z.int().positive().default(4_194_304).describe('Maximum size of a request body, in bytes'),
	headersWithinMs: z.int().positive().default(10_000).describe('Time limit for a caller to send the header fields'),
	bodyWithinMs: z.int().positive().default(30_000).describe('Time limit for a caller to send the whole request'),
	maxWaiting: z.int().nonnegative().default(1000).describe('Maximum number of requests that wait for a backend server'),
	quietStreamMs: z.int().positive().default(5000).describe('A backend server that sends nothing for this long is probed on a new connection'),
	maxRunningPerBackend: z.int().positive().default(256).describe('Maximum number of concurrent requests from this daemon to one backend server'),
	claimWindowMs: z.int().nonnegative().default(5).describe('How long claims are collected before they are appended as one batch'),
});

export const settingsSchema = z.strictObject({
	instance: z.strictObject({
		id: z.string().min(1).describe('Name of this instance, as on the instance list'),
		address: z.string().default('127.0.0.1').describe('IP address at which peers reach this instance'),
		availabilityZone: z.string().min(1).describe('Availability zone of this instance'),
		region: z.string().default('default').describe('Region of this instance'),
	}),
	listen: z.strictObject({
		callers: listenAddress.default('127.0.0.1:0').describe('Listener for callers; port 0 selects a free port'),
		admin: listenAddress.default('127.0.0.1:0').describe('Listener for operators'),
		peers: listenAddress.default('127.0.0.1:0').describe('Listener for other daemons'),
	}).default({callers: '127.0.0.1:0', admin: '127.0.0.1:0', peers: '127.0.0.1:0'}),
	platform: z.strictObject({
		log: url.describe('Base URL of the log service'),
		instances: url.optional().describe('Base URL of the instance list'),
		cloud: url.optional().describe('Base URL of the cloud API'),
		weights: url.optional().describe('Base URL of the model weight store'),
		logRetentionHours: z.number().positive().default(24).describe('How long the log keeps records; must exceed the retention of idempotency keys'),
	}).optional(),
	peers: z.strictObject({
		seeds: z.array(listenAddress).default([]).describe('Addresses of initial peers'),
		keys: z.array(z.string().min(16, 'a key of at least 16 characters')).default([]).describe('Shared keys; the first is used to authenticate, all are accepted'),
		probeEveryMs: z.int().positive().default(1000).describe('Interval between probes'),
		suspectForMs: z.int().positive().default(4000).describe('Time in which a suspected peer can prove that it is alive'),
	}).default({
		seeds: [], keys: [], probeEveryMs: 1000, suspectForMs: 4000,
	}),
	adminKey: z.array(adminKey).default([]),
	limits: limits.default(limits.parse({})),
	tracing: z.strictObject({
		otlp: url.optional().describe('OTLP/HTTP endpoint for spans; without it, spans are logged'),
		sampleRatio: z.number().min(0).max(1).default(0.01).describe('Share of traces to sample if the caller makes no sampling decision'),
	}).default({sampleRatio: 0.01}),
});

export type Settings = z.output<typeof settingsSchema>;
export type Limits = Settings['limits'];
export type AdminKey = Settings['adminKey'][number];
