/** Schema of a daemon's settings file. Keys are camelCase here and snake_case in the file. */
import * as z from 'zod';

const listenAddress = z.string().regex(/^(?:\[[\da-f:]+\]|[\d.]+):\d{1,5}$/v, 'an IP address and a port such as 127.0.0.1:8080');
const url = z.url({protocol: /^https?$/v, error: 'a URL such as http://127.0.0.1:7000'});

const adminKey = z.strictObject({
	name: z.string().min(1).describe('Who the key belongs to; named in the history'),
	sha256: z.string().regex(/^[\da-f]{64}$/v, '64 hexadecimal digits, the SHA-256 of the key').describe('Digest of the key'),
	role: z.enum(['viewer', 'operator', 'administrator']).describe('Viewers read, operators apply and drain, administrators see every team'),
	teams: z.array(z.string()).default(['default']).describe('Teams the key may see and change'),
});

const limits = z.strictObject({
	maxConnections: z.int().positive().default(5000).describe('Open connections on the callers\' listener'),
	maxHeaderBytes: z.int().min(1024).default(16_384).describe('Header fields of one request, in bytes'),
	maxBodyBytes: z.int().positive().default(4_194_304).describe('Body of one request, in bytes'),
	headersWithinMs: z.int().positive().default(10_000).describe('Time for a caller to send the header fields'),
	bodyWithinMs: z.int().positive().default(30_000).describe('Time for a caller to send the whole request'),
	maxWaiting: z.int().nonnegative().default(1000).describe('Requests that may wait for a backend server'),
	quietStreamMs: z.int().positive().default(5000).describe('A backend server that is silent for so long is checked on a new connection'),
	maxRunningPerBackend: z.int().positive().default(256).describe('Requests of this daemon at one backend server'),
	claimWindowMs: z.int().nonnegative().default(5).describe('How long a claim waits for others to share its append'),
});

export const settingsSchema = z.strictObject({
	instance: z.strictObject({
		id: z.string().min(1).describe('Name of this instance, as on the instance list'),
		address: z.string().default('127.0.0.1').describe('IP address that peers reach this instance at'),
		availabilityZone: z.string().min(1).describe('Availability zone of this instance'),
		region: z.string().default('default').describe('Region of this instance'),
	}),
	listen: z.strictObject({
		callers: listenAddress.default('127.0.0.1:0').describe('Listener for callers; port 0 takes a free one'),
		admin: listenAddress.default('127.0.0.1:0').describe('Listener for operators'),
		peers: listenAddress.default('127.0.0.1:0').describe('Listener for other daemons'),
	}).default({callers: '127.0.0.1:0', admin: '127.0.0.1:0', peers: '127.0.0.1:0'}),
	platform: z.strictObject({
		log: url.describe('Base URL of the log service'),
		instances: url.optional().describe('Base URL of the instance list'),
		cloud: url.optional().describe('Base URL of the cloud API'),
		weights: url.optional().describe('Base URL of the weight store'),
		logRetentionHours: z.number().positive().default(24).describe('How long the log keeps records; must exceed the key memory'),
	}).optional(),
	peers: z.strictObject({
		seeds: z.array(listenAddress).default([]).describe('Addresses of peers to start from'),
		keys: z.array(z.string().min(16, 'a key of at least 16 characters')).default([]).describe('Shared keys; the first signs, all are accepted'),
		probeEveryMs: z.int().positive().default(1000).describe('Time between two probes'),
		suspectForMs: z.int().positive().default(4000).describe('Time a suspected peer has to speak up'),
	}).default({
		seeds: [], keys: [], probeEveryMs: 1000, suspectForMs: 4000,
	}),
	adminKey: z.array(adminKey).default([]),
	limits: limits.default(limits.parse({})),
	tracing: z.strictObject({
		otlp: url.optional().describe('OTLP/HTTP endpoint for spans; the log takes them without one'),
		sampleRatio: z.number().min(0).max(1).default(0.01).describe('Share of traces kept when the caller decides nothing'),
	}).default({sampleRatio: 0.01}),
});

export type Settings = z.output<typeof settingsSchema>;
export type Limits = Settings['limits'];
export type AdminKey = Settings['adminKey'][number];
