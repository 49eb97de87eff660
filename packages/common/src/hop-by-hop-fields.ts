/**
 * Header fields that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1), in lower case.
 * Fields that the `Connection` header lists are hop-by-hop too.
 */
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

/** Parses the values of `Connection` header fields into field names, in lower case. */
export const parseConnectionNames = (values: readonly string[]): Set<string> => new Set(values
	.flatMap(value => value.split(','))
	.map(name => name.trim().toLowerCase()));
