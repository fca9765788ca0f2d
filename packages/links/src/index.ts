/** Connections, calls and datagrams between the system's own processes. */
export { createClient } from '@connectrpc/connect';
export type { Client, ConnectRouter, ServiceImpl } from '@connectrpc/connect';
export { create } from '@bufbuild/protobuf';
export type { MessageInitShape } from '@bufbuild/protobuf';
export * from './datagramNumbers.js';
export * from './datagramOrder.js';
export * from './internalServer.js';
export * from './linkPool.js';
export * from './memberMessages.js';
export * from './refusals.js';
export * from './runSession.js';
export * from './runSessions.js';
export * from './secrets.js';
export * from './sessionServer.js';
export * from './transport.js';
export * from './fleetDatagrams.js';
