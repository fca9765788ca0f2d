/** Generated messages and services of the protocol between the processes of the system. */
export * from './gen/laburnumstream/v1/agent_pb.js';
export * from './gen/laburnumstream/v1/entry_pb.js';
export * from './gen/laburnumstream/v1/fleet_pb.js';
