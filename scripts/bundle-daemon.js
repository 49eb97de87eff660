/**
 * Bundles the daemon for the users' platform, so that startup loads a few files instead of hundreds: first the code that takes
 * signals, then the code that accepts connections, then the rest.
 */
import {mkdirSync, readdirSync, rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const outputFolder = 'target';

// The names of chunks change with their content, so those of earlier builds would pile up.
mkdirSync(outputFolder, {recursive: true});
for (const name of readdirSync(outputFolder)) {
	if (/^shallotpassd.*\.mjs$/v.test(name)) {
		rmSync(path.join(outputFolder, name));
	}
}

const result = await build({
	entryPoints: {shallotpassd: 'apps/daemon/dist/platform-main.js'},
	outdir: outputFolder,
	outExtension: {'.js': '.mjs'},
	chunkNames: 'shallotpassd-[name]-[hash]',
	bundle: true,
	splitting: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	minify: true,
	// CommonJS packages load Node.js built-in modules with `require`, which ES modules do not define.
	banner: {js: 'import {createRequire} from "node:module"; const require = createRequire(import.meta.url);'},
	logLevel: 'warning',
});
process.exitCode = result.errors.length > 0 ? 1 : 0;
