/** HTTP client for the admin listener of a daemon. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {request} from 'undici';

export type AdminTarget = {
	readonly url: string;
	readonly key: string;
};

export type AdminResponse = {
	readonly status: number;
	readonly text: string;
	readonly etag: string | undefined;
};

/** Ends the command with a message and an exit code. If the outcome of an operation is unknown, the exit code is `unknown` and not `refused`. */
export class CliError extends Error {
	override readonly name = 'CliError';
	readonly exitCode: number;

	constructor(message: string, exitCode: number) {
		super(message);
		this.exitCode = exitCode;
	}
}

export const exitCodes = {
	success: 0,
	refused: 1,
	usage: 2,
	unknown: 3,
} as const;

const requestTimeoutMs = 10_000;

/** Returns the target from the command line options, or from the environment variables if an option is missing. */
export const resolveTarget = (admin: string | undefined, key: string | undefined): AdminTarget => {
	const url = admin ?? process.env.SHALLOTPASS_ADMIN;
	const secret = key ?? process.env.SHALLOTPASS_KEY;
	if (url === undefined || url === '') {
		throw new CliError('no daemon is named: pass --admin URL or set SHALLOTPASS_ADMIN', exitCodes.usage);
	}

	if (secret === undefined || secret === '') {
		throw new CliError('no operator key: pass --key KEY or set SHALLOTPASS_KEY', exitCodes.usage);
	}

	return {url: url.includes('://') ? url : `http://${url}`, key: secret};
};

type RequestOptions = {
	readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
};

/** Sends a request and returns the response, whatever its status. Throws if there is none. */
export const callAdmin = async (target: AdminTarget, path: string, options: RequestOptions = {}): Promise<AdminResponse> => {
	try {
		const response = await request(new URL(path, target.url), {
			method: options.method ?? 'GET',
			body: options.body,
			headers: {authorization: `Bearer ${target.key}`, ...options.headers},
			signal: AbortSignal.timeout(requestTimeoutMs),
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

/** Fields of an error response (RFC 9457) that the tool uses. */
type ProblemDetails = {readonly title: string; readonly detail: string; readonly executed: string; readonly kind: string};

/** Converts an unsuccessful response into an error. */
export const makeResponseError = (response: AdminResponse): CliError => {
	try {
		const problem = JSON.parse(response.text) as ProblemDetails;
		const isUnknown = problem.executed === 'unknown' || problem.kind === 'platform_unavailable';
		const prefix = isUnknown ? 'outcome unknown: ' : '';
		return new CliError(`${prefix}${problem.title}: ${problem.detail}`, isUnknown ? exitCodes.unknown : exitCodes.refused);
	} catch {
		return new CliError(`the daemon sent status ${response.status} without a readable error`, exitCodes.unknown);
	}
};

/** Sends a request and returns the JSON body of the response. Throws if the response is unsuccessful. */
export const fetchJson = async (target: AdminTarget, path: string, options: RequestOptions = {}): Promise<unknown> => {
	const response = await callAdmin(target, path, options);
	if (response.status >= 300) {
		throw makeResponseError(response);
	}

	return JSON.parse(response.text);
};

export const readTextFile = (fileName: string): string => {
	try {
		return readFileSync(fileName, 'utf8');
	} catch (error) {
		throw new CliError(`${fileName}: cannot be read: ${error instanceof Error ? error.message : 'unknown'}`, exitCodes.usage);
	}
};
