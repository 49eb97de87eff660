/** Settings of one gateway daemon, as rendered from the platform's template. Keys in the file are in snake_case. */
import net from 'node:net';
import * as z from 'zod';
import {parseHostAndPort} from './host-and-port.js';

const maxPort = 65_535;

const isAddress = (text: string): boolean => {
	const {host, port} = parseHostAndPort(text);
	return /:\d{1,5}$/v.test(text) && net.isIPv4(host) && port <= maxPort;
};

const address = z.string().refine(isAddress, 'an IP address and a port such as 10.1.0.16:8360');

export const gatewaySettingsSchema = z.object({
	instance: z.object({
		id: z.string().min(1).describe('Name of this instance'),
		availabilityZone: z.string().min(1).describe('Availability zone of this instance'),
		zones: z.array(z.string()).describe('All availability zones'),
		linkMbps: z.number().positive().describe('Bandwidth of this instance\'s link, in Mbit/s; daemons with the highest bandwidth aggregate the reports of their zone'),
		memoryMb: z.number().positive().optional().describe('Memory of this instance, in MB; half of it may hold bodies of calls, and at least 150 MB are left for the program. 256 if it is not stated'),
		maxOpenFiles: z.int().min(64).optional().describe('Descriptors that the process may have open; 70% of them may be connections of callers, 10% connections of peers. What the system allows if it is not stated'),
		firstStart: z.boolean().default(false).describe('Whether all daemons start for the first time'),
	}),
	listen: z.object({
		callers: address.describe('Listener for callers'),
		ready: address.describe('Listener for readiness checks of the load balancer'),
		peers: address.describe('Listener for other daemons, over TCP and UDP'),
		metrics: address.optional().describe('Listener for metrics'),
	}),
	peers: z.object({
		seeds: z.array(address).describe('Addresses of peers to contact first while the store is unavailable'),
	}),
	store: z.object({
		address: address.describe('Address of the platform\'s store'),
	}),
	cloud: z.object({
		address: z.union([address, z.literal('')]).describe('Address of the cloud API; empty if there is none'),
	}),
	crashes: z.object({
		cleared: z.array(z.string()).default([]).describe('Parts of prompts, or digests of requests, that are served although backend servers ended under them'),
	}).default({cleared: []}),
	bounds: z.object({
		drainMs: z.number().positive().describe('Time for which a leaving backend server may still get calls, in ms'),
		graceMs: z.number().positive().describe('Time from SIGTERM to SIGKILL, in ms'),
		configurationMs: z.number().positive().describe('Time within which a configuration must take effect, in ms'),
		stableMs: z.number().positive().describe('Time after a disruption until bounds hold again, in ms'),
		leaseMs: z.number().positive().describe('Duration of the leader lease, in ms'),
		usageWindowMs: z.number().positive().describe('Length of a usage window, in ms'),
		usageLateMs: z.number().positive().describe('Time after the end of a usage window within which its report is due, in ms'),
		quotaWindowMs: z.number().positive().describe('Window over which the limits of client accounts apply, in ms'),
		quotaOvershoot: z.number().nonnegative().describe('Fraction by which a limit may be exceeded within the window'),
		quotaSlack: z.number().nonnegative().describe('Additional cost units by which a limit may be exceeded within the window'),
		repeatRatio: z.number().nonnegative().describe('Retries as a fraction of the calls of a service'),
		repeatSlack: z.number().nonnegative().describe('Additional retries allowed per service, over all daemons'),
		repeatWindowMs: z.number().positive().describe('Window of the retry limit, in ms'),
		exposureShare: z.number().min(0).max(1).optional().describe('Fraction of the requests of a service that a new software version may get while it may be bad; rollouts are served if this bound, `exposure_slack` and `rollback_ms` are set'),
		exposureSlack: z.number().nonnegative().optional().describe('Additional requests that a new software version may get while it may be bad'),
		rollbackMs: z.number().positive().optional().describe('Time from the 50th bad response of a new software version until it gets no more requests, in ms'),
	}),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
