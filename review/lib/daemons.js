/** Daemons of a small deployment, started as the deploy file starts them, with the bounds of riiul-pull. */
import {spawn} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const root = path.resolve(import.meta.dirname, '../..');

/** Each daemon has a loopback address of its own, so that its ports are free. */
export const makeAddresses = index => {
	const ip = `127.${101 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}.${index}`;
	return {
		id: `front-a-${index}`, callers: `${ip}:8360`, ready: `${ip}:8365`, peers: `${ip}:7500`, metrics: `${ip}:9464`,
	};
};

/** Renders `platform/settings.toml.template`. */
const formatSettings = ({id, callers, ready, peers, metrics, seeds, store, cloud}) => `
[instance]
id = "${id}"
availability_zone = "a"
link_mbps = 1000.0
zones = ["a"]

[listen]
callers = "${callers}"
ready = "${ready}"
peers = "${peers}"
metrics = "${metrics}"

[peers]
seeds = [${seeds.map(seed => `"${seed}"`).join(', ')}]

[store]
address = "${store}"

[cloud]
address = "${cloud}"

[bounds]
drain_ms = 2000
grace_ms = 8000
configuration_ms = 2000
stable_ms = 3000
lease_ms = 3000
usage_window_ms = 5000
usage_late_ms = 10000
quota_window_ms = 8000
quota_overshoot = 0.1
quota_slack = 140000
repeat_ratio = 0.2
repeat_slack = 52
repeat_window_ms = 10000
`;

const isReady = async address => {
	try {
		const answer = await fetch(`http://${address}/ready`);
		return answer.status === 200;
	} catch {
		return false;
	}
};

/** Starts a daemon, adds its process to `children` and waits until it is ready. */
export const startDaemon = async (settings, {temporary, children}) => {
	const settingsPath = path.join(temporary, `${settings.id}.toml`);
	writeFileSync(settingsPath, formatSettings(settings));
	const child = spawn('node', ['--max-old-space-size=160', '--max-semi-space-size=2', 'target/shallotpassd.mjs'], {
		cwd: root,
		env: {...process.env, SHALLOTPASS_CONFIG: settingsPath},
		stdio: 'ignore',
	});
	children.push(child);
	const until = performance.now() + 20_000;
	while (!await isReady(settings.ready)) { // eslint-disable-line no-await-in-loop -- a poll
		if (performance.now() > until || child.exitCode !== null) {
			throw new Error(`${settings.id} did not become ready`);
		}

		await sleep(50); // eslint-disable-line no-await-in-loop -- a poll
	}

	return child;
};
