/** Talks to a daemon's operators' listener. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {request} from 'undici';

export type Target = {
	readonly url: string;
	readonly key: string;
};

export type AdminResponse = {
	readonly status: number;
	readonly text: string;
	readonly etag: string | undefined;
};

/** The exit code that a failure leads to; `unknown` is never told as a failure of the operation. */
export class CliError extends Error {
	override readonly name = 'CliError';
	readonly exitCode: number;

	constructor(message: string, exitCode: number) {
		super(message);
		this.exitCode = exitCode;
	}
}

export const exitCodes = {
	done: 0,
	refused: 1,
	usage: 2,
	unknown: 3,
} as const;

const timeoutMs = 10_000;

export const findTarget = (admin: string | undefined, key: string | undefined): Target => {
	const url = admin ?? process.env.SHALLOTPASS_ADMIN;
	const secret = key ?? process.env.SHALLOTPASS_KEY;
	if (url === undefined || url === '') {
		throw new CliError('no daemon is named: give --admin URL or set SHALLOTPASS_ADMIN', exitCodes.usage);
	}

	if (secret === undefined || secret === '') {
		throw new CliError('no key is given: give --key KEY or set SHALLOTPASS_KEY', exitCodes.usage);
	}

	return {url: url.includes('://') ? url : `http://${url}`, key: secret};
};

type CallOptions = {
	readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
};

export const callAdmin = async (target: Target, path: string, options: CallOptions = {}): Promise<AdminResponse> => {
	try {
		const response = await request(new URL(path, target.url), {
			method: options.method ?? 'GET',
			body: options.body,
			headers: {authorization: `Bearer ${target.key}`, ...options.headers},
			signal: AbortSignal.timeout(timeoutMs),
		});
		const {etag} = response.headers;
		return {
			status: response.statusCode,
			text: await response.body.text(),
			etag: typeof etag === 'string' ? etag.replaceAll('"', '') : undefined,
		};
	} catch (error) {
		throw new CliError(`${target.url} does not answer: ${error instanceof Error ? error.message : 'unknown'}`, exitCodes.unknown);
	}
};

type Problem = {readonly title: string; readonly detail: string; readonly executed: string; readonly kind: string};

/** The error for an answer that is no success. */
export const makeRefusal = (response: AdminResponse): CliError => {
	try {
		const problem = JSON.parse(response.text) as Problem;
		const isUnknown = problem.executed === 'unknown' || problem.kind === 'platform_unavailable';
		const prefix = isUnknown ? 'not known: ' : '';
		return new CliError(`${prefix}${problem.title}: ${problem.detail}`, isUnknown ? exitCodes.unknown : exitCodes.refused);
	} catch {
		return new CliError(`the daemon answered with status ${response.status}`, exitCodes.unknown);
	}
};

export const readJson = async (target: Target, path: string, options: CallOptions = {}): Promise<unknown> => {
	const response = await callAdmin(target, path, options);
	if (response.status >= 300) {
		throw makeRefusal(response);
	}

	return JSON.parse(response.text);
};

export const readFile = (fileName: string): string => {
	try {
		return readFileSync(fileName, 'utf8');
	} catch (error) {
		throw new CliError(`${fileName}: cannot be read: ${error instanceof Error ? error.message : 'unknown'}`, exitCodes.usage);
	}
};
