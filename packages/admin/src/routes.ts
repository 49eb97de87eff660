/** Routes of the admin listener. */
import {type IncomingMessage} from 'node:http';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type AdminKey} from '@shallotpass/common/settings-schema.js';
import {applyConfiguration, planConfiguration} from './apply-configuration.js';
import {requireTeam, type Operator} from './authorize.js';
import {type AdminServices} from './admin-services.js';
import {describeBackends, describeMembers, describeStatus} from './describe-status.js';

export type AdminRequest = {
	readonly request: IncomingMessage;
	readonly url: URL;
	readonly operator: Operator;
	/** Values of the named groups in the route's pattern. */
	readonly pathParameters: Readonly<Record<string, string>>;
	readonly readText: () => Promise<string>;
};

export type AdminReply =
	| {readonly kind: 'json'; readonly status: number; readonly body: unknown}
	| {readonly kind: 'toml'; readonly text: string; readonly version: number};

export type AdminRoute = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly pattern: RegExp;
	/** Path as shown in the reference documentation. */
	readonly path: string;
	readonly role: AdminKey['role'];
	readonly handle: (adminRequest: AdminRequest, services: AdminServices) => Promise<AdminReply> | AdminReply;
};

const makeJsonReply = (body: unknown, status = 200): AdminReply => ({kind: 'json', status, body});

/** Reads the version in If-Match, where -1 means that the team has no configuration yet. */
const parseBaseVersion = (request: IncomingMessage): number | undefined => {
	const text = request.headers['if-match'];
	if (text === undefined) {
		return undefined;
	}

	const version = Number(text.replaceAll('"', ''));
	if (!Number.isInteger(version) || version < -1) {
		throw new ServingError(`If-Match must be a version, or -1 for none; found ${text.slice(0, 40)}`, {kind: 'invalid_request'});
	}

	return version;
};

const parseApplyId = (request: IncomingMessage): string | undefined => {
	const id = request.headers['x-apply-id'];
	if (id !== undefined && (typeof id !== 'string' || !/^[\w\-]{8,64}$/v.test(id))) {
		throw new ServingError('X-Apply-Id must be 8 to 64 letters, digits, dashes or underscores', {kind: 'invalid_request'});
	}

	return id;
};

const configurationPattern = /^\/admin\/v1\/teams\/(?<team>[^\/]+)\/configuration$/v;

export const adminRoutes: readonly AdminRoute[] = [
	{
		method: 'PUT',
		pattern: configurationPattern,
		path: '/admin/v1/teams/<team>/configuration',
		role: 'operator',
		async handle({request, url, operator, pathParameters, readText}, services) {
			const team = pathParameters.team!;
			requireTeam(operator, team);
			const toml = await readText();
			if (url.searchParams.get('dryRun') === '1') {
				return makeJsonReply(planConfiguration(services, team, toml));
			}

			const result = await applyConfiguration(services, {
				team, toml, base: parseBaseVersion(request), id: parseApplyId(request), by: operator.name,
			});
			return makeJsonReply(result, 202);
		},
	},
	{
		method: 'GET',
		pattern: configurationPattern,
		path: '/admin/v1/teams/<team>/configuration',
		role: 'viewer',
		handle({operator, pathParameters}, services) {
			const team = pathParameters.team!;
			requireTeam(operator, team);
			const accepted = services.configuration.getState().accepted.get(team);
			if (accepted === undefined) {
				throw new ServingError(`team ${team} has no configuration`, {kind: 'not_found'});
			}

			return {kind: 'toml', text: accepted.toml, version: accepted.version};
		},
	},
	{
		method: 'GET',
		pattern: /^\/admin\/v1\/teams\/(?<team>[^\/]+)\/history$/v,
		path: '/admin/v1/teams/<team>/history',
		role: 'viewer',
		handle({operator, pathParameters}, services) {
			const team = pathParameters.team!;
			requireTeam(operator, team);
			return makeJsonReply({entries: services.configuration.getState().history.filter(entry => entry.team === team)});
		},
	},
	{
		method: 'GET',
		pattern: /^\/admin\/v1\/status$/v,
		path: '/admin/v1/status',
		role: 'viewer',
		handle: async ({operator}, services) => makeJsonReply(await describeStatus(services, operator)),
	},
	{
		method: 'GET',
		pattern: /^\/admin\/v1\/members$/v,
		path: '/admin/v1/members',
		role: 'viewer',
		handle: (_request, services) => makeJsonReply(describeMembers(services)),
	},
	{
		method: 'GET',
		pattern: /^\/admin\/v1\/backends$/v,
		path: '/admin/v1/backends',
		role: 'viewer',
		handle: ({operator}, services) => makeJsonReply(describeBackends(services, operator)),
	},
	{
		method: 'GET',
		pattern: /^\/admin\/v1\/quarantine$/v,
		path: '/admin/v1/quarantine',
		role: 'viewer',
		handle: (_request, services) => makeJsonReply({suspects: services.suspects.list()}),
	},
	{
		method: 'DELETE',
		pattern: /^\/admin\/v1\/quarantine\/(?<fingerprint>[\da-f]+)$/v,
		path: '/admin/v1/quarantine/<fingerprint>',
		role: 'operator',
		handle({pathParameters}, services) {
			if (services.suspects.get(pathParameters.fingerprint!) === undefined) {
				throw new ServingError('no such request is suspected', {kind: 'not_found'});
			}

			services.suspects.lift(pathParameters.fingerprint!);
			return makeJsonReply({lifted: pathParameters.fingerprint});
		},
	},
	{
		method: 'POST',
		pattern: /^\/admin\/v1\/drain$/v,
		path: '/admin/v1/drain',
		role: 'operator',
		handle(_request, services) {
			services.drain();
			return makeJsonReply({isDraining: true}, 202);
		},
	},
];
