/**
 * Relay on the path between the proxies and one peer. It can let all open connections go silent for good, while new ones work.
 */
import {connect, createServer} from 'node:net';
import {once} from 'node:events';

export class Relay {
	links = new Set();

	/**
	 * @param targetPort - port of the peer
	 * @param dropAfterMs - time after which the peer drops a connection whose remote end is unreachable
	 */
	constructor(targetPort, dropAfterMs) {
		Object.assign(this, {targetPort, dropAfterMs});
	}

	async start() {
		this.server = createServer({noDelay: true}, client => {
			this.accept(client);
		});
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
	}

	get address() {
		return `127.0.0.1:${this.server.address().port}`;
	}

	stop() {
		this.server.close();
		for (const {client, target} of this.links) {
			client.destroy();
			target.destroy();
		}
	}

	/** Lets all open connections go silent, without a reset. The peer drops its ends after a while. */
	silence() {
		for (const link of this.links) {
			link.isSilent = true;
			setTimeout(() => {
				link.target.destroy();
			}, this.dropAfterMs);
		}

		return this.links.size;
	}

	accept(client) {
		const target = connect({host: '127.0.0.1', port: this.targetPort, noDelay: true});
		const link = {client, target, isSilent: false};
		this.links.add(link);
		this.forward(link, client, target);
		this.forward(link, target, client);
	}

	forward(link, from, to) {
		from.on('data', chunk => {
			if (!link.isSilent && !to.destroyed) {
				to.write(chunk);
			}
		});
		from.on('error', () => undefined);
		from.on('close', () => {
			if (!link.isSilent) {
				to.destroy();
			}

			if (link.client.destroyed && link.target.destroyed) {
				this.links.delete(link);
			}
		});
	}
}
