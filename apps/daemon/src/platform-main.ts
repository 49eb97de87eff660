/** Entry point of the daemon on the users' platform. Takes signals and errors first and then loads the rest of the program. */
import {stopRequest} from './take-signals.js';
import {keepAliveAtErrors} from './catch-errors.js';

const {startPlatformDaemon} = await import('./start-platform-daemon.js');
await startPlatformDaemon({stopRequest, keepAliveAtErrors});
