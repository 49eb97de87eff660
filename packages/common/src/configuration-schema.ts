/** Schema of the configuration file that operators apply, one per team. Keys are camelCase here and snake_case in the file. */
import * as z from 'zod';

const sha256Pattern = /^[\da-f]{64}$/v;
const namePattern = /^[a-z\d](?:[a-z\d._\-]{0,62})$/v;

const name = z.string().regex(namePattern, 'a name of lower-case letters, digits, dots, dashes or underscores, 63 at most');
const sha256 = z.string().regex(sha256Pattern, '64 hexadecimal digits, the SHA-256 of the key');
const dateTime = z.preprocess(
	value => value instanceof Date ? value.getTime() : value,
	z.number({error: 'a date and time such as 2027-03-01T00:00:00Z'}),
).meta({title: 'date and time'});
const hostAndPort = z.string().regex(/^(?:\[[\da-f:]+\]|[\d.]+):\d{1,5}$/v, 'an IP address and a port such as 127.0.0.1:9001');

const latencyClass = z.strictObject({
	name: name.describe('Name that callers give in X-Request-Class'),
	rank: z.int().min(0).max(1000).describe('Lower is served first'),
	firstTokenMs: z.number().positive().optional().describe('Target latency of the first token, 95th percentile'),
	betweenTokensMs: z.number().positive().optional().describe('Target time between tokens, 95th percentile'),
});

const service = z.strictObject({
	name: name.describe('Name in the path and in the lists of accounts and backend servers'),
	kind: z.enum(['model', 'plain']).describe('Model services use the chat completions API; plain services use any HTTP API'),
	models: z.array(z.string().min(1)).default([]).describe('Values of the model field that select this service'),
	defaultClass: name.optional().describe('Class of calls that specify none'),
	repeatable: z.boolean().optional().describe('Whether a call may run twice; false by default for plain services'),
	pathPrefix: z.string().startsWith('/').default('/').describe('Path prefix on the backend server'),
});

const account = z.strictObject({
	name: name.describe('Name of the client account'),
	keySha256: z.array(sha256).min(1).describe('SHA-256 digests of the keys; two during a key rotation'),
	services: z.array(name).describe('Services the account may call'),
	classes: z.array(name).default([]).describe('Classes the account may request'),
	share: z.number().positive().default(1).describe('Weight in fair sharing'),
	requestsPerSecond: z.number().positive().optional().describe('Limit over the whole system'),
	tokensPerMinute: z.number().positive().optional().describe('Limit over the whole system'),
});

const backend = z.strictObject({
	id: z.string().min(1).describe('Name of the backend server'),
	address: hostAndPort.describe('Address on which it listens'),
	availabilityZone: name.describe('Its availability zone'),
	machineClass: z.string().default('default').describe('Its machine class, as in the prices'),
	services: z.array(name).min(1).describe('Services it runs'),
	checksFencing: z.boolean().default(false).describe('Whether it refuses a call with an outdated fencing token'),
});

const price = z.strictObject({
	availabilityZone: name.describe('Availability zone to which the price applies'),
	machineClass: z.string().describe('Machine class'),
	reclaimable: z.number().nonnegative().describe('Credits per hour of a reclaimable instance'),
	onDemand: z.number().nonnegative().describe('Credits per hour of an on-demand instance'),
	places: z.int().positive().optional().describe('Concurrent responses that an instance of the class handles within their targets; if set, the system starts and ends instances of the class'),
});

const configurationTablesSchema = z.strictObject({
	creditsExpireAt: dateTime.optional().describe('When the credits expire'),
	class: z.array(latencyClass).default([]),
	service: z.array(service).default([]),
	account: z.array(account).default([]),
	backend: z.array(backend).default([]),
	price: z.array(price).default([]),
});

type NameReferences = {readonly path: Array<string | number>; readonly names: readonly string[]; readonly known: ReadonlySet<string>; readonly entryKind: string};

const reportUnknownNames = (references: NameReferences, report: (path: Array<string | number>, message: string) => void): void => {
	for (const [index, item] of references.names.entries()) {
		if (!references.known.has(item)) {
			report([...references.path, index], `the name of a ${references.entryKind} in this file (${[...references.known].join(', ') || 'it has none'})`);
		}
	}
};

const reportDuplicates = (path: string, names: readonly string[], report: (path: Array<string | number>, message: string) => void): void => {
	const seen = new Set<string>();
	for (const [index, item] of names.entries()) {
		if (seen.has(item)) {
			report([path, index], `one ${path} only named ${item}`);
		}

		seen.add(item);
	}
};

/** Schema of the configuration file, including the checks across entries, such as unique names and valid references. */
export const configurationSchema = configurationTablesSchema.superRefine((file, context) => {
	const report = (path: Array<string | number>, message: string): void => {
		context.addIssue({code: 'custom', path, message});
	};

	const classes = new Set(file.class.map(item => item.name));
	const services = new Set(file.service.map(item => item.name));
	reportDuplicates('class', file.class.map(item => item.name), report);
	reportDuplicates('service', file.service.map(item => item.name), report);
	reportDuplicates('account', file.account.map(item => item.name), report);
	reportDuplicates('backend', file.backend.map(item => item.id), report);
	reportDuplicates('account', file.account.flatMap(item => item.keySha256), (_path, _message) => {
		report(['account'], 'each key digest at one account only');
	});
	for (const [index, item] of file.service.entries()) {
		if (item.defaultClass !== undefined) {
			reportUnknownNames({
				path: ['service', index, 'defaultClass'], names: [item.defaultClass], known: classes, entryKind: 'class',
			}, (_path, message) => {
				report(['service', index, 'defaultClass'], message);
			});
		}

		if (item.kind === 'model' && item.models.length === 0) {
			report(['service', index, 'models'], 'at least one model name');
		}
	}

	for (const [index, item] of file.account.entries()) {
		reportUnknownNames({
			path: ['account', index, 'services'], names: item.services, known: services, entryKind: 'service',
		}, report);
		reportUnknownNames({
			path: ['account', index, 'classes'], names: item.classes, known: classes, entryKind: 'class',
		}, report);
	}

	for (const [index, item] of file.backend.entries()) {
		reportUnknownNames({
			path: ['backend', index, 'services'], names: item.services, known: services, entryKind: 'service',
		}, report);
	}
});

/** The configuration tables without the checks across entries, for the generated reference page. */
export const configurationTables = configurationTablesSchema;

export type Configuration = z.output<typeof configurationSchema>;
export type Service = Configuration['service'][number];
export type Account = Configuration['account'][number];
export type LatencyClass = Configuration['class'][number];
export type ConfiguredBackend = Configuration['backend'][number];

/** Whether a call to this service with this method may be executed more than once. */
export const isRepeatable = (item: Service, method: string): boolean => {
	if (method === 'GET' || method === 'HEAD' || method === 'OPTIONS') {
		return true;
	}

	return item.repeatable ?? item.kind === 'model';
};
