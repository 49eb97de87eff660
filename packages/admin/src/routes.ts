/** The operators' interface, one entry a route. */
import {type IncomingMessage} from 'node:http';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type AdminKey} from '@shallotpass/common/settings-schema.js';
import {applyConfiguration, planConfiguration} from './apply-configuration.js';
import {requireTeam, type Operator} from './authorize.js';
import {type AdminServices} from './admin-services.js';
import {describeBackends, describeMembers, describeStatus} from './describe-status.js';

export type AdminCall = {
	readonly request: IncomingMessage;
	readonly url: URL;
	readonly operator: Operator;
	/** Parts of the path that the route's pattern names. */
	readonly parts: Readonly<Record<string, string>>;
	readonly readText: () => Promise<string>;
};

export type AdminReply =
	| {readonly kind: 'json'; readonly status: number; readonly body: unknown}
	| {readonly kind: 'toml'; readonly text: string; readonly version: number};

export type AdminRoute = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly pattern: RegExp;
	/** As shown on the operators' page. */
	readonly path: string;
	readonly role: AdminKey['role'];
	readonly perform: (call: AdminCall, services: AdminServices) => Promise<AdminReply> | AdminReply;
};

const sendJson = (body: unknown, status = 200): AdminReply => ({kind: 'json', status, body});

const readBase = (request: IncomingMessage): number | undefined => {
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

const readApplyId = (request: IncomingMessage): string | undefined => {
	const id = request.headers['x-apply-id'];
	if (id !== undefined && (typeof id !== 'string' || !/^[\w\-]{8,64}$/v.test(id))) {
		throw new ServingError('X-Apply-Id must be 8 to 64 letters, digits, dashes or underscores', {kind: 'invalid_request'});
	}

	return id;
};

const teamPattern = /^\/admin\/v1\/teams\/(?<team>[^\/]+)\/configuration$/v;

export const adminRoutes: readonly AdminRoute[] = [
	{
		method: 'PUT',
		pattern: teamPattern,
		path: '/admin/v1/teams/<team>/configuration',
		role: 'operator',
		async perform({request, url, operator, parts, readText}, services) {
			const team = parts.team!;
			requireTeam(operator, team);
			const toml = await readText();
			if (url.searchParams.get('dryRun') === '1') {
				return sendJson(planConfiguration(services, team, toml));
			}

			const result = await applyConfiguration(services, {
				team, toml, base: readBase(request), id: readApplyId(request), by: operator.name,
			});
			return sendJson(result, 202);
		},
	},
	{
		method: 'GET',
		pattern: teamPattern,
		path: '/admin/v1/teams/<team>/configuration',
		role: 'viewer',
		perform({operator, parts}, services) {
			const team = parts.team!;
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
		perform({operator, parts}, services) {
			const team = parts.team!;
			requireTeam(operator, team);
			return sendJson({entries: services.configuration.getState().history.filter(entry => entry.team === team)});
		},
	},
	{
		method: 'GET',
		pattern: /^\/admin\/v1\/status$/v,
		path: '/admin/v1/status',
		role: 'viewer',
		perform: async ({operator}, services) => sendJson(await describeStatus(services, operator)),
	},
	{
		method: 'GET',
		pattern: /^\/admin\/v1\/members$/v,
		path: '/admin/v1/members',
		role: 'viewer',
		perform: (_call, services) => sendJson(describeMembers(services)),
	},
	{
		method: 'GET',
		pattern: /^\/admin\/v1\/backends$/v,
		path: '/admin/v1/backends',
		role: 'viewer',
		perform: ({operator}, services) => sendJson(describeBackends(services, operator)),
	},
	{
		method: 'GET',
		pattern: /^\/admin\/v1\/quarantine$/v,
		path: '/admin/v1/quarantine',
		role: 'viewer',
		perform: (_call, services) => sendJson({suspects: services.suspects.list()}),
	},
	{
		method: 'DELETE',
		pattern: /^\/admin\/v1\/quarantine\/(?<fingerprint>[\da-f]+)$/v,
		path: '/admin/v1/quarantine/<fingerprint>',
		role: 'operator',
		perform({parts}, services) {
			if (services.suspects.get(parts.fingerprint!) === undefined) {
				throw new ServingError('no such request is suspected', {kind: 'not_found'});
			}

			services.suspects.lift(parts.fingerprint!);
			return sendJson({lifted: parts.fingerprint});
		},
	},
	{
		method: 'POST',
		pattern: /^\/admin\/v1\/drain$/v,
		path: '/admin/v1/drain',
		role: 'operator',
		perform(_call, services) {
			services.drain();
			return sendJson({isDraining: true}, 202);
		},
	},
];
