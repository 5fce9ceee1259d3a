/**
 * The streaming watch call of the gateway, which sends a JSON line for each batch of events.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {encodeEntry, parseKeyRange, type Gateway} from './gateway.js';
import {type Store, type StoreEvent} from './store.js';

type JsonObject = Readonly<Record<string, any>>;

/** Interval of progress notifications for watches that request them, and of the retry after events were held back. */
const progressIntervalMs = 1000;

/** Serves a watch until its connection closes. Requests after the first line of the body are ignored. */
export class Watch {
	private nextRevision: number;

	/**
	 * @param createRequest - the `create_request` of the call
	 * @param isDelivering - returns false while an injected fault holds events back
	 */
	constructor(private readonly store: Store, private readonly gateway: Gateway, private readonly createRequest: JsonObject, private readonly isDelivering: () => boolean) {
		const startRevision = Number(createRequest.start_revision ?? 0);
		this.nextRevision = startRevision > 0 ? startRevision : store.revision + 1;
	}

	/** Confirms the watch and starts sending events. */
	start(request: IncomingMessage, response: ServerResponse): void {
		response.writeHead(200, {'content-type': 'application/json'});
		this.send(response, {created: true});
		const sendEvents = () => {
			this.sendEvents(response);
		};

		const timer = setInterval(() => {
			this.sendEvents(response);
			if (this.createRequest.progress_notify && this.isDelivering()) {
				this.send(response, {});
			}
		}, progressIntervalMs);
		this.store.on('change', sendEvents);
		response.on('close', () => {
			this.store.off('change', sendEvents);
			clearInterval(timer);
		});
		request.resume();
		this.sendEvents(response);
	}

	private sendEvents(response: ServerResponse): void {
		if (!this.isDelivering()) {
			return;
		}

		const events = this.store.eventsSince(this.nextRevision, parseKeyRange(this.createRequest));
		this.nextRevision = Math.max(this.nextRevision, this.store.revision + 1);
		if (events.length > 0) {
			this.send(response, {events: events.map(event => encodeEvent(event))});
		}
	}

	private send(response: ServerResponse, result: JsonObject): void {
		response.write(`${JSON.stringify({result: {header: this.gateway.header(), watch_id: '0', ...result}})}\n`);
	}
}

/** Encodes an event. The gateway omits the type PUT, which is the default. */
function encodeEvent({type, entry}: StoreEvent): JsonObject {
	if (type === 'DELETE') {
		return {type, kv: {key: encodeEntry(entry).key as string, mod_revision: String(entry.modRevision)}};
	}

	return {kv: encodeEntry(entry)};
}
