/** Stand-in of the platform's store: an in-memory log as PROTOCOL.md describes it, as far as the daemons and the scripts of this folder use it. */
import {Buffer} from 'node:buffer';
import http from 'node:http';

const lengthBytes = 4;
const readHeaderBytes = 16;
const maxReadBytes = 1_048_576;
const maxItems = 500;

const readBody = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

const decode = body => {
	const records = [];
	for (let position = 0; position + lengthBytes <= body.length;) {
		const length = body.readUInt32BE(position);
		const content = body.subarray(position + lengthBytes, position + lengthBytes + length);
		const keyLength = content.readUInt8(0);
		const value = content.subarray(1 + keyLength);
		records.push({key: content.subarray(1, 1 + keyLength).toString('utf8'), value: value.length === 0 ? undefined : Buffer.from(value)});
		position += lengthBytes + length;
	}

	return records;
};

const encode = ({key, value = Buffer.alloc(0)}) => {
	const keyBytes = Buffer.from(key);
	const head = Buffer.alloc(lengthBytes + 1);
	head.writeUInt32BE(1 + keyBytes.length + value.length);
	head.writeUInt8(keyBytes.length, lengthBytes);
	return Buffer.concat([head, keyBytes, value]);
};

export const startStore = async address => {
	const topics = new Map();
	const getTopic = name => {
		const topic = topics.get(name) ?? {records: [], newest: new Map(), waiting: new Set()};
		topics.set(name, topic);
		return topic;
	};

	const append = (topic, records) => {
		for (const record of records) {
			const offset = topic.records.push(record) - 1;
			if (record.value === undefined) {
				topic.newest.delete(record.key);
			} else {
				topic.newest.set(record.key, {value: record.value, offset});
			}
		}

		for (const wake of topic.waiting) {
			wake();
		}
	};

	const sendJson = (response, status, body) => {
		response.writeHead(status, {'Content-Type': 'application/json'}).end(JSON.stringify(body));
	};

	const handleAppend = async (request, response, query) => {
		const body = await readBody(request);
		const topic = getTopic(query.get('topic'));
		const at = query.get('at');
		const offset = topic.records.length;
		if (at !== null && Number(at) !== offset) {
			sendJson(response, 412, {end: offset});
			return;
		}

		append(topic, decode(body));
		sendJson(response, 200, {offset, end: topic.records.length});
	};

	const waitForRecord = async (topic, from, waitMs, response) => {
		if (topic.records.length > from || waitMs === 0) {
			return;
		}

		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				topic.waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, waitMs);
			topic.waiting.add(wake);
			response.once('close', wake);
		});
	};

	const handleRead = async (response, query) => {
		const topic = getTopic(query.get('topic'));
		const from = Number(query.get('from'));
		await waitForRecord(topic, from, Number(query.get('wait_ms') ?? 0), response);
		const head = Buffer.alloc(readHeaderBytes);
		head.writeBigUInt64BE(BigInt(topic.records.length), 0);
		const parts = [head];
		let bytes = 0;
		for (const record of topic.records.slice(from)) {
			const part = encode(record);
			bytes += part.length;
			if (bytes > maxReadBytes) {
				break;
			}

			parts.push(part);
		}

		response.end(Buffer.concat(parts));
	};

	const handleNewest = (response, query) => {
		const topic = getTopic(query.get('topic'));
		const after = query.get('after');
		const all = [...topic.newest].toSorted(([left], [right]) => left < right ? -1 : 1).filter(([key]) => after === null || key > after);
		const items = all.slice(0, maxItems).map(([key, {value, offset}]) => ({key, value: value.toString('base64'), offset}));
		sendJson(response, 200, {items, truncated: all.length > maxItems, end: topic.records.length});
	};

	const server = http.createServer(async (request, response) => {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		switch (pathname) {
			case '/log-append': {
				await handleAppend(request, response, searchParams);

				break;
			}

			case '/log-read': {
				await handleRead(response, searchParams);

				break;
			}

			case '/log-newest': {
				handleNewest(response, searchParams);

				break;
			}

			default: {
				response.writeHead(404).end();
			}
		}
	});
	const [host, port] = address.split(':');
	await new Promise(resolve => {
		server.listen({host, port: Number(port)}, resolve);
	});
	return {
		address,
		/** Writes a record on behalf of the operator or an engine. */
		put(topic, key, value) {
			append(getTopic(topic), [{key, value: Buffer.from(JSON.stringify(value))}]);
		},
		remove(topic, key) {
			append(getTopic(topic), [{key, value: undefined}]);
		},
		listKeys: topic => [...getTopic(topic).newest.keys()],
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};
