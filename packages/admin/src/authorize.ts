/** Authenticates operators and checks their permissions. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {ServingError} from '@shallotpass/common/serving-error.js';
import {type AdminKey} from '@shallotpass/common/settings-schema.js';

export type Operator = {
	readonly name: string;
	readonly role: AdminKey['role'];
	readonly teams: readonly string[];
};

const roleRanks = {viewer: 0, operator: 1, administrator: 2} as const satisfies Record<AdminKey['role'], number>;

const isSameDigest = (left: string, right: string): boolean => timingSafeEqual(Buffer.from(left, 'hex'), Buffer.from(right, 'hex'));

/** Returns the operator whose key is in the Authorization header. Digests are compared in constant time. */
export const authenticateOperator = (request: IncomingMessage, keys: readonly AdminKey[]): Operator => {
	const match = /^Bearer +(\S+)$/iv.exec(request.headers.authorization ?? '');
	if (match === null) {
		throw new ServingError('the Authorization field must be Bearer and a key', {kind: 'unauthenticated'});
	}

	const digest = createHash('sha256').update(match[1]!).digest('hex');
	const key = keys.find(candidate => isSameDigest(candidate.sha256, digest));
	if (key === undefined) {
		throw new ServingError('the key is not one of any operator', {kind: 'unauthenticated'});
	}

	return {name: key.name, role: key.role, teams: key.teams};
};

/** Throws unless the operator has the role or a higher one. */
export const requireRole = (operator: Operator, role: AdminKey['role']): void => {
	if (roleRanks[operator.role] < roleRanks[role]) {
		throw new ServingError(`${operator.name} is ${operator.role}; this needs ${role}`, {kind: 'forbidden'});
	}
};

export const canSeeTeam = (operator: Operator, team: string): boolean =>
	operator.role === 'administrator' || operator.teams.includes(team);

/** Throws unless the operator may access the team. */
export const requireTeam = (operator: Operator, team: string): void => {
	if (!canSeeTeam(operator, team)) {
		throw new ServingError(`${operator.name} has no right to team ${team}`, {kind: 'forbidden'});
	}
};
