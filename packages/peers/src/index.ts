export * from "./channel.ts"
export * from "./sockets.ts"
