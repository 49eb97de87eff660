/** Header fields that concern one connection only, in lower case (RFC 9110, section 7.6.1); those that `Connection` names come to them. */
export const hopByHopFields: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

/** Names that the values of `Connection` fields list, in lower case. */
export const parseConnectionNames = (values: readonly string[]): Set<string> => new Set(values
	.flatMap(value => value.split(','))
	.map(name => name.trim().toLowerCase()));
