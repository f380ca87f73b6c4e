export * from "./channel.ts"
export * from "./codec.ts"
export * from "./codec-heartbeats.ts"
export * from "./sockets.ts"
