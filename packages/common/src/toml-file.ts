/** Parses TOML text and validates it against a schema. Every mistake is reported with its location in the file. */
import {closest} from 'fastest-levenshtein';
import {parse, TomlError} from 'smol-toml';
import {type z} from 'zod';

export type FileMistake = {
	readonly place: string;
	readonly expected: string;
	readonly found: string;
};

export type FileReadResult<Value> =
	| {readonly kind: 'read'; readonly value: Value}
	| {readonly kind: 'mistakes'; readonly mistakes: readonly FileMistake[]};

const toCamelCase = (key: string): string => key.replaceAll(/_([a-z\d])/gv, (_match, letter: string) => letter.toUpperCase());

/** Converts a key to the form used in files: `firstTokenMs` becomes `first_token_ms`. */
export const toFileKey = (key: string): string => key.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`);

const isTable = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date);

const convertKeys = (value: unknown): unknown => {
	if (Array.isArray(value)) {
		return value.map(item => convertKeys(item));
	}

	if (!isTable(value)) {
		return value;
	}

	return Object.fromEntries(Object.entries(value).map(([key, item]) => [toCamelCase(key), convertKeys(item)]));
};

const findCamelCaseKeys = (value: unknown, keyPath: string): FileMistake[] => {
	if (Array.isArray(value)) {
		return value.flatMap((item, index) => findCamelCaseKeys(item, `${keyPath}[${index}]`));
	}

	if (!isTable(value)) {
		return [];
	}

	return Object.entries(value).flatMap(([key, item]) => {
		const itemPath = keyPath === '' ? key : `${keyPath}.${key}`;
		const ownMistakes = /[A-Z]/v.test(key) ? [{place: itemPath, expected: `lower case with underscores: ${toFileKey(key)}`, found: key}] : [];
		return [...ownMistakes, ...findCamelCaseKeys(item, itemPath)];
	});
};

const formatPath = (path: readonly PropertyKey[]): string => {
	let formatted = '';
	for (const part of path) {
		if (typeof part === 'number') {
			formatted += `[${part}]`;
			continue;
		}

		formatted += `${formatted === '' ? '' : '.'}${toFileKey(String(part))}`;
	}

	return formatted === '' ? '(top level)' : formatted;
};

const getValueAt = (root: unknown, path: readonly PropertyKey[]): unknown => {
	let value = root;
	for (const part of path) {
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		value = (value as Record<PropertyKey, unknown>)[part];
	}

	return value;
};

const maxShownCharacters = 80;

const formatValue = (value: unknown): string => {
	if (value === undefined) {
		return 'nothing';
	}

	const text = JSON.stringify(value) ?? typeof value;
	return text.length > maxShownCharacters ? `${text.slice(0, maxShownCharacters)}…` : text;
};

const listKeys = (schema: unknown, path: readonly PropertyKey[]): string[] => {
	let current = schema as {def?: {type?: string; innerType?: unknown; element?: unknown; shape?: Record<string, unknown>; in?: unknown}};
	const unwrap = () => {
		while (current?.def?.innerType ?? current?.def?.in) {
			current = (current.def?.innerType ?? current.def?.in) as typeof current;
		}
	};

	unwrap();
	for (const part of path) {
		const next = typeof part === 'number' ? current?.def?.element : current?.def?.shape?.[String(part)];
		current = next as typeof current;
		unwrap();
	}

	return Object.keys(current?.def?.shape ?? {});
};

const describeIssue = (issue: z.core.$ZodIssue, root: unknown, schema: unknown): FileMistake[] => {
	if (issue.code === 'unrecognized_keys') {
		const known = listKeys(schema, issue.path);
		return issue.keys.map(key => {
			const suggestion = known.length > 0 ? `; did you mean ${toFileKey(closest(key, known))}?` : '';
			return {
				place: formatPath([...issue.path, key]),
				expected: `a known key${suggestion}`,
				found: toFileKey(key),
			};
		});
	}

	return [{place: formatPath(issue.path), expected: issue.message, found: formatValue(getValueAt(root, issue.path))}];
};

/** Parses and validates TOML text. The keys of the schema are camelCase, those of the text are snake_case. */
export const readToml = <Schema extends z.ZodType>(text: string, schema: Schema): FileReadResult<z.output<Schema>> => {
	let raw: unknown;
	try {
		raw = parse(text);
	} catch (error) {
		if (!(error instanceof TomlError)) {
			throw error;
		}

		const summary = error.message.split('\n')[0] ?? 'not TOML';
		return {kind: 'mistakes', mistakes: [{place: `line ${error.line}, column ${error.column}`, expected: 'TOML', found: summary}]};
	}

	const keyMistakes = findCamelCaseKeys(raw, '');
	if (keyMistakes.length > 0) {
		return {kind: 'mistakes', mistakes: keyMistakes};
	}

	const converted = convertKeys(raw);
	const result = schema.safeParse(converted);
	if (result.success) {
		return {kind: 'read', value: result.data};
	}

	return {kind: 'mistakes', mistakes: result.error.issues.flatMap(issue => describeIssue(issue, converted, schema))};
};

/** Formats a mistake as one line for error output. */
export const formatMistake = (fileName: string, mistake: FileMistake): string =>
	`${fileName}: ${mistake.place}: expected ${mistake.expected}, found ${mistake.found}`;
