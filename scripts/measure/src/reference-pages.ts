/** Generates the reference pages from the schemas and tables that the code itself uses. */
import {adminRoutes} from '@shallotpass/admin/routes.js';
import {configurationTables} from '@shallotpass/common/configuration-schema.js';
import {errorResponses} from '@shallotpass/common/error-kinds.js';
import {settingsSchema} from '@shallotpass/common/settings-schema.js';
import {toFileKey} from '@shallotpass/common/toml-file.js';
import {logEvents} from '@shallotpass/gateway/telemetry/log-events.js';
import {metricDescriptions} from '@shallotpass/telemetry/metrics.js';
import {z} from 'zod';

export type ReferencePage = {readonly path: string; readonly text: string};

type JsonSchema = {
	readonly title?: string;
	readonly type?: string;
	readonly description?: string;
	readonly default?: unknown;
	readonly enum?: readonly unknown[];
	readonly properties?: Readonly<Record<string, JsonSchema>>;
	readonly required?: readonly string[];
	readonly items?: JsonSchema;
};

type Row = {readonly key: string; readonly kind: string; readonly defaultText: string; readonly meaning: string};

const describeKind = (schema: JsonSchema): string => {
	if (schema.enum !== undefined) {
		return schema.enum.map(value => `\`${String(value)}\``).join(', ');
	}

	if (schema.type === 'array') {
		return `list of ${describeKind(schema.items ?? {})}`;
	}

	return schema.title ?? schema.type ?? 'any';
};

const listRows = (schema: JsonSchema, prefix: string): Row[] => Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
	const key = `${prefix}${toFileKey(name)}`;
	if (property.properties !== undefined) {
		return listRows(property, `${key}.`);
	}

	if (property.items?.properties !== undefined) {
		return listRows(property.items, `${key}[].`);
	}

	const isRequired = schema.required?.includes(name) ?? false;
	const defaultText = property.default === undefined ? (isRequired ? 'required' : 'none') : `\`${JSON.stringify(property.default)}\``;
	return [{
		key, kind: describeKind(property), defaultText, meaning: property.description ?? '',
	}];
});

/** Lists all keys of a schema as they are written in files. */
export const listKeys = (schema: z.ZodType): string[] => listRows(toJsonSchema(schema), '').map(row => row.key);

const toJsonSchema = (schema: z.ZodType): JsonSchema => z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'}) as JsonSchema;

const formatKeys = (schema: z.ZodType): string => [
	'| key | kind | default | meaning |',
	'| --- | --- | --- | --- |',
	...listRows(toJsonSchema(schema), '').map(row => `| \`${row.key}\` | ${row.kind} | ${row.defaultText} | ${row.meaning} |`),
].join('\n');

const generatedNote = 'This page is generated from the code by `npm run docs`.';

const makeSettingsPage = (): string => `# Settings of the daemon

${generatedNote} \`[]\` marks a table that may occur several times, such as \`[[admin_key]]\`.
If a value is invalid, the daemon reports the file, the key, the expected and the actual value, and does not start.

${formatKeys(settingsSchema)}
`;

const makeConfigurationPage = (): string => `# Configuration file

${generatedNote} \`[]\` marks a table that may occur several times, such as \`[[service]]\`.
\`shallotpass apply FILE\` applies the file as a whole; \`shallotpass check FILE\` validates it
without a daemon.

${formatKeys(configurationTables)}
`;

const makeErrorsPage = (): string => `# Error kinds

${generatedNote} Every refusal is \`application/problem+json\` (RFC 9457) with \`kind\` and
\`executed\`. \`no\`: no backend server has received the request. \`unknown\`: it may have been executed.
\`yes\`: it was executed. A response may state \`no\` or \`yes\` where this table says \`unknown\`, never the reverse.

| kind | status | executed | meaning | what a caller may do |
| --- | --- | --- | --- | --- |
${Object.entries(errorResponses).map(([kind, answer]) => `| \`${kind}\` | ${answer.status} | ${answer.executed} | ${answer.title} | ${answer.advice} |`).join('\n')}
`;

const makeMetricsPage = (): string => `# Metrics

${generatedNote} They are served at \`/metrics\` of the admin listener, together with the standard process
metrics. Names end in their unit.

| metric | kind | labels | meaning |
| --- | --- | --- | --- |
${Object.values(metricDescriptions).map(metric => `| \`${metric.name}\` | ${metric.kind} | ${metric.labels.join(', ')} | ${metric.help} |`).join('\n')}
`;

const makeLogEventsPage = (): string => `# Log events of the gateway

${generatedNote} Each line is a JSON object with \`level\`, \`time\` (milliseconds
since 1970), \`instance\`, \`event\` and the fields below; fields that do not apply are omitted.
[OPERATIONS](../OPERATIONS.md) describes how to find the cause of a failed request.

| event | meaning | fields |
| --- | --- | --- |
${Object.entries(logEvents).map(([event, {meaning, fields}]) => `| \`${event}\` | ${meaning} | ${fields.map(field => `\`${field}\``).join(', ')} |`).join('\n')}
`;

const makeRoutesPage = (): string => `# Admin API

${generatedNote} Send the key as \`Authorization: Bearer KEY\`. \`/healthz\`, \`/readyz\` and
\`/metrics\` need no key.

| method | path | least role |
| --- | --- | --- |
${adminRoutes.map(route => `| ${route.method} | \`${route.path}\` | ${route.role} |`).join('\n')}
`;

export const makeReferencePages = (): ReferencePage[] => [
	{path: 'docs/operators/settings.md', text: makeSettingsPage()},
	{path: 'docs/operators/configuration.md', text: makeConfigurationPage()},
	{path: 'docs/operators/errors.md', text: makeErrorsPage()},
	{path: 'docs/operators/metrics.md', text: makeMetricsPage()},
	{path: 'docs/operators/interface.md', text: makeRoutesPage()},
	{path: 'docs/operators/log-events.md', text: makeLogEventsPage()},
];
