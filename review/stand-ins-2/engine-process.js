/** Stand-in of a model engine, as a process of its own, which ends at once under a request with the body `poison` if it is told so. */
/* eslint-disable camelcase -- names of the platform's wire format */
import http from 'node:http';
import process from 'node:process';

const {id, host, port, born, eventMs, events, poisonAfterMs} = JSON.parse(process.argv[2]);

const send = message => {
	process.send?.(message);
};

/** Counts the requests that run. */
let running = 0;

const readBody = async request => {
	let text = '';
	for await (const chunk of request) {
		text += chunk;
	}

	return text;
};

const stream = async (request, response, body) => {
	const requestId = request.headers['x-request-id'];
	running++;
	response.writeHead(200, {
		'Content-Type': 'text/event-stream', 'X-Request-Id': requestId, 'X-Response-Seal': `seal.${id}.${requestId}`, 'X-Server-Load': `${running},0,64`, 'X-Weight-Versions': '1',
	});
	if (body.startsWith('poison') && poisonAfterMs !== undefined) {
		setTimeout(() => {
			process.kill(process.pid, 'SIGKILL');
		}, poisonAfterMs);
	}

	for (let event = 1; event <= events && !response.destroyed; event++) {
		response.write(`id: ${event}\ndata: word ${event} of ${requestId}\n\n`);
		// eslint-disable-next-line no-await-in-loop -- the pace of the events
		await new Promise(resolve => {
			setTimeout(resolve, eventMs);
		});
	}

	running--;
	response.end();
};

const server = http.createServer({keepAliveTimeout: 10_000}, async (request, response) => {
	if (request.url === '/report') {
		response.writeHead(200, {'Content-Type': 'application/json'}).end(JSON.stringify({
			stage: 'both', models: [{name: 'm', version: 1, adapters: []}], busy: false, sequence: 1, queued: 0, running, kv_used: 0, kv_total: 600_000, handles: 0, born,
		}));
		return;
	}

	if (request.url === '/health') {
		response.writeHead(200, {'X-Instance-Id': id}).end();
		return;
	}

	const body = await readBody(request);
	if (request.headers['x-expect-instance'] !== id) {
		response.writeHead(421, {'X-Request-Id': request.headers['x-request-id'], 'X-Not-Executed': '1'}).end();
		return;
	}

	send({kind: 'arrival', requestId: request.headers['x-request-id'], isPoison: body.startsWith('poison')});
	await stream(request, response, body);
});
server.listen({host, port}, () => {
	send({kind: 'listening'});
});
process.once('disconnect', () => {
	process.exit();
});
