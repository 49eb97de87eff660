/** Starts the platform stand-ins and daemons in one process, on free ports of the loopback interface. */
import {createHash} from 'node:crypto';
import {type Clock} from '@shallotpass/common/clock.js';
import {settingsSchema, type Settings} from '@shallotpass/common/settings-schema.js';
import {startDaemon, type Daemon} from '@shallotpass/daemon/start-daemon.js';
import {startCloudStandIn, type CloudStandIn} from '@shallotpass/stand-ins/cloud-stand-in.js';
import {startInstanceListStandIn, type InstanceListStandIn} from '@shallotpass/stand-ins/instance-list-stand-in.js';
import {startLogStandIn, type LogStandIn} from '@shallotpass/stand-ins/log-stand-in.js';
import {type z} from 'zod';

export const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

export const operatorKey = 'operator-key-of-the-stand-ins';
export const callerKey = 'caller-key-of-the-stand-ins';
export const peerKey = 'peer-key-of-the-stand-ins';

type SettingsInput = z.input<typeof settingsSchema>;

export type FleetPlatform = {
	readonly log: LogStandIn;
	readonly list: InstanceListStandIn;
	readonly cloud: CloudStandIn;
	readonly close: () => Promise<void>;
};

export const startPlatform = async (): Promise<FleetPlatform> => {
	const [log, list, cloud] = await Promise.all([startLogStandIn(), startInstanceListStandIn(), startCloudStandIn()]);
	return {
		log,
		list,
		cloud,
		async close() {
			await Promise.all([log.close(), list.close(), cloud.close()]);
		},
	};
};

type MemberOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly platform: FleetPlatform | undefined;
	readonly seeds?: readonly string[];
	readonly limits?: SettingsInput['limits'];
	readonly peers?: Partial<NonNullable<SettingsInput['peers']>>;
	readonly logUrl?: string;
	readonly instancesUrl?: string;
	/** URLs of a platform that is not in this process; used if `platform` is undefined. */
	readonly platformUrls?: NonNullable<SettingsInput['platform']>;
	readonly listenPeers?: string;
	/** IP address of the instance; each zone of a zoned fleet has its own loopback address. */
	readonly address?: string;
	/** Address of a relay in front of the peer listener, announced to the other daemons. */
	readonly announcedPeersAddress?: string;
	readonly tracing?: SettingsInput['tracing'];
	readonly clock?: Clock;
};

export const makeSettings = (options: MemberOptions): Settings => settingsSchema.parse({
	instance: {
		id: options.id, address: options.address ?? '127.0.0.1', availabilityZone: options.availabilityZone, region: 'region-1',
	},
	listen: options.listenPeers === undefined ? undefined : {peers: options.listenPeers},
	platform: options.platform === undefined
		? options.platformUrls
		: {
			log: options.logUrl ?? options.platform.log.url,
			instances: options.instancesUrl ?? options.platform.list.url,
			cloud: options.platform.cloud.url,
		},
	peers: {
		seeds: [...options.seeds ?? []], keys: [peerKey], probeEveryMs: 200, suspectForMs: 800, ...options.peers,
	},
	adminKey: [{name: 'operator', sha256: hashKey(operatorKey), role: 'administrator'}],
	limits: options.limits,
	tracing: options.tracing,
});

export const startFleetDaemon = async (options: MemberOptions): Promise<Daemon> =>
	startDaemon({settings: makeSettings(options), clock: options.clock, announcedPeersAddress: options.announcedPeersAddress});

/** Waits until the condition holds; throws an error after the timeout. */
export const waitFor = async (description: string, condition: () => boolean | Promise<boolean>, timeoutMs = 15_000): Promise<void> => {
	const deadline = Date.now() + timeoutMs;
	while (!await condition()) { // eslint-disable-line no-await-in-loop -- polls
		if (Date.now() > deadline) {
			throw new Error(`condition not met within ${timeoutMs} ms: ${description}`);
		}

		await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- polls
			setTimeout(resolve, 10);
		});
	}
};

/** Makes a configuration for the stand-ins: a model service, a plain service that must not be repeated and one that may. The comment makes texts distinct. */
export const makeConfigurationText = (comment = 'first'): string => `# ${comment}
credits_expire_at = 2030-01-01T00:00:00Z

[[class]]
name = "counter"
rank = 0
first_token_ms = 430
between_tokens_ms = 28

[[class]]
name = "draft"
rank = 10

[[service]]
name = "assistant"
kind = "model"
models = ["assistant-7b"]
default_class = "draft"

[[service]]
name = "reservations"
kind = "plain"
repeatable = false

[[service]]
name = "catalogue"
kind = "plain"
repeatable = true

[[account]]
name = "tartu-shop"
key_sha256 = ["${hashKey(callerKey)}"]
services = ["assistant", "reservations", "catalogue"]
classes = ["counter", "draft"]
`;

export type ApplyOutcome = {readonly status: number; readonly body: {readonly version?: number; readonly id?: string; readonly kind?: string}};

/** Applies a configuration through a daemon's admin API; `base` is the version that it must replace. */
export const applyConfiguration = async (daemon: Pick<Daemon, 'admin'>, text: string, base?: number, team = 'default'): Promise<ApplyOutcome> => {
	const response = await fetch(`http://${daemon.admin}/admin/v1/teams/${team}/configuration`, {
		method: 'PUT',
		headers: {authorization: `Bearer ${operatorKey}`, ...(base === undefined ? {} : {'if-match': String(base)})},
		body: text,
	});
	return {status: response.status, body: await response.json() as ApplyOutcome['body']};
};

/** Returns the number of members that a daemon knows, including itself. */
export const countMembers = async (admin: string): Promise<number> => {
	const response = await fetch(`http://${admin}/admin/v1/members`, {headers: {authorization: `Bearer ${operatorKey}`}});
	const {members} = await response.json() as {members: readonly unknown[]};
	return members.length;
};
