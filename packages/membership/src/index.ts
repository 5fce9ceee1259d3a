export * from './hostListReader.js';
export * from './membershipService.js';
export * from './memberTable.js';
export {type PeerAddress} from './peerConnection.js';
export * from './peerTransport.js';
export * from './rendezvous.js';
