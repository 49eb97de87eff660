/** Lint settings: XO's rules, and the import arrows of docs/STYLE.md as restrictions. */
const forbidImports = names => ({
	'no-restricted-imports': ['error', {
		patterns: [{
			group: names.map(name => `@shallotpass/${name}/**`),
			message: 'The import arrows go one way: apps, then platform, backends and peers, then core, then common.',
		}],
	}],
});

const sockets = ['node:net', 'node:http', 'node:https', 'node:fs', 'node:fs/promises', 'node:timers', 'node:timers/promises', 'undici'];

export default [
	{
		ignores: ['**/dist/**', 'reports/**'],
	},
	{
		files: ['packages/common/**/*.ts'],
		rules: forbidImports(['core', 'provider', 'platform', 'gateway', 'backends', 'peers', 'stand-ins', 'daemon', 'cli', 'measure']),
	},
	{
		files: ['packages/core/**/*.ts'],
		rules: {
			'no-restricted-imports': ['error', {
				paths: sockets.map(name => ({name, message: 'The core does no input or output.'})),
				patterns: [{
					group: ['provider', 'platform', 'gateway', 'backends', 'peers', 'stand-ins', 'daemon', 'cli', 'measure'].map(name => `@shallotpass/${name}/**`),
					message: 'The core imports only common.',
				}],
			}],
			'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'fetch', 'Date'],
		},
	},
	{
		files: ['packages/{provider,backends,peers}/**/*.ts'],
		rules: forbidImports(['stand-ins', 'daemon', 'cli', 'measure']),
	},
	{
		files: ['apps/daemon/**/*.ts'],
		rules: forbidImports(['stand-ins', 'cli', 'measure']),
	},
	{
		// Node's sockets hand over buffers; a copy or a cast at each chunk would say nothing more.
		files: ['packages/gateway/**/*.ts', 'packages/common/src/client-limits/*.ts', 'packages/common/src/growing-buffer.ts', 'platform/**/*.ts'],
		rules: {
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		// Words of our own in place of the field's: gossip, report, unconfirmed peer, shared state, warm-up, registry, outcome, preferred backend server, mass reclaim.
		files: ['packages/gateway/**/*.ts', 'packages/core/src/gossip/*.ts', 'platform/**/*.ts'],
		rules: {
			'id-denylist': ['error', 'news', 'strangers', 'stranger', 'tellings', 'telling', 'beliefs', 'belief', 'opening', 'book', 'dear', 'fate', 'home', 'homes', 'waves', 'wave'],
		},
	},
	{
		files: ['packages/gateway/**/*.ts'],
		rules: forbidImports(['provider', 'platform', 'backends', 'peers', 'tasks', 'callers', 'admin', 'stand-ins', 'daemon', 'cli', 'measure']),
	},
	{
		// The stand-ins below it are for tests.
		files: ['platform/src/*.ts'],
		rules: forbidImports(['provider', 'backends', 'peers', 'tasks', 'callers', 'admin', 'stand-ins', 'daemon', 'cli', 'measure']),
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// Names of environment variables and of other formats.
			'@typescript-eslint/naming-convention': 'off',
			// The runner itself waits for tests.
			'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [{from: 'package', name: 'test', package: 'node:test'}]}],
		},
	},
	{
		// These files are the programs themselves.
		files: ['apps/*/src/main.ts', 'apps/*/src/platform-main.ts', 'apps/*/src/{catch-errors,run-platform-daemon,start-platform-daemon}.ts', 'apps/*/bin/*.js', 'scripts/**/*.{js,ts}'],
		rules: {
			'unicorn/no-process-exit': 'off',
			'import-x/no-unassigned-import': 'off',
		},
	},
];
