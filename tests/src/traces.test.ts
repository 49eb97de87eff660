/** Tests the spans of one request across all processes. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sendReservation} from '@shallotpass/measure/caller-client.js';
import {
	applyConfiguration, makeConfigurationText, startFleetDaemon, startPlatform, waitFor,
} from '@shallotpass/measure/local-fleet.js';
import {readJson, sendJson, startStandIn} from '@shallotpass/stand-ins/http-stand-in.js';
import {startPlainServiceStandIn} from '@shallotpass/stand-ins/plain-service-stand-in.js';

type ExportedSpan = {readonly name: string; readonly traceId: string; readonly spanId: string; readonly parentSpanId?: string};

type ExportBody = {readonly resourceSpans: ReadonlyArray<{readonly scopeSpans: ReadonlyArray<{readonly spans: readonly ExportedSpan[]}>}>};

const callerTrace = '0af7651916cd43dd8448eb211c80319c';

test('a reservation produces one trace from the caller through the daemon and its peer to the backend server', async t => {
	// An operator uses the trace to find the hop that makes a reservation slow. If it ended at the first
	// daemon, a slow claim writer on a peer would not be visible.
	const spans: ExportedSpan[] = [];
	const collector = await startStandIn(async (request, response) => {
		const body = await readJson(request) as ExportBody;
		spans.push(...body.resourceSpans.flatMap(resource => resource.scopeSpans.flatMap(scope => scope.spans)));
		sendJson(response, {status: 200, body: {}});
	});
	const platform = await startPlatform();
	const service = await startPlainServiceStandIn({id: 'reservations-0'});
	platform.list.put({
		id: 'reservations-0', address: service.address, role: 'backend', state: 'live', availabilityZone: 'zone-1', services: ['reservations'],
	});
	const tracing = {otlp: `http://${collector.address}/v1/traces`, sampleRatio: 1};
	const first = await startFleetDaemon({
		id: 'entry-0', availabilityZone: 'zone-1', platform, tracing,
	});
	const second = await startFleetDaemon({
		id: 'entry-1', availabilityZone: 'zone-1', platform, tracing, seeds: [first.peers],
	});
	t.after(async () => {
		await Promise.all([first.stop(), second.stop()]);
		await Promise.all([collector.close(), service.close(), platform.close()]);
	});
	await waitFor('the daemons know each other', () => [first, second].every(daemon => daemon.listMembers().length === 2));
	await applyConfiguration(first, makeConfigurationText());
	await waitFor('the backend server is known', async () => {
		const text = await first.environment.metrics.registry.getSingleMetricAsString('shallotpass_backends');
		return first.getVersion('default') >= 0 && text.includes('state="live"} 1');
	});
	// With 16 keys, some belong to log streams that the other daemon writes.
	for (let index = 0; index < 16; index++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other
		const result = await sendReservation({
			address: first.callers, key: `issue-${index}`, body: '{"issue":1}', headers: {traceparent: `00-${callerTrace}-b7ad6b7169203331-01`},
		});
		assert.equal(result.status, 200);
	}

	await Promise.all([first.drain(), second.drain()]);
	const callerSpans = spans.filter(span => span.traceId === callerTrace);
	assert.deepEqual([...new Set(callerSpans.map(span => span.name))].toSorted((left, right) => left.localeCompare(right)), ['admission', 'backend', 'caller', 'claim', 'peer', 'routing']);
	const peer = callerSpans.find(span => span.name === 'peer')!;
	assert.equal(callerSpans.find(span => span.spanId === peer.parentSpanId)?.name, 'claim');
	assert.equal(callerSpans.find(span => span.parentSpanId === peer.spanId)?.name, 'claim');
});
